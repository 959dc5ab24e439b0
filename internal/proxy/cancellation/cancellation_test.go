package cancellation_test

import (
	"testing"

	"snowflow/internal/proxy/cancellation"
)

var attempt = cancellation.Attempt{ID: "request.1", Proxy: "proxy-1"}

func TestCallerLeavesDuringAttempt(t *testing.T) {
	tracker := cancellation.NewTracker(true)
	if !tracker.Begin(attempt) {
		t.Fatal("the first attempt was not allowed")
	}
	if cancelled := tracker.CallerDisconnected(); cancelled == nil || *cancelled != attempt {
		t.Errorf("to be cancelled: %v", cancelled)
	}
	if !tracker.End() {
		t.Error("the attempt ended as if the caller were there")
	}
	if tracker.Begin(attempt) {
		t.Error("another attempt was allowed")
	}
}

func TestCallerLeavesBetweenAttempts(t *testing.T) {
	tracker := cancellation.NewTracker(true)
	tracker.Begin(attempt)
	if tracker.End() {
		t.Error("the attempt ended as if the caller had left")
	}
	if cancelled := tracker.CallerDisconnected(); cancelled != nil {
		t.Errorf("to be cancelled: %v", cancelled)
	}
	if tracker.Begin(attempt) {
		t.Error("another attempt was allowed")
	}
}

func TestRequestWithKeyIsNotCancelled(t *testing.T) {
	tracker := cancellation.NewTracker(false)
	tracker.Begin(attempt)
	if cancelled := tracker.CallerDisconnected(); cancelled != nil {
		t.Errorf("to be cancelled: %v", cancelled)
	}
	if tracker.End() {
		t.Error("the attempt ended as if it had been cancelled")
	}
	if !tracker.Begin(attempt) {
		t.Error("another attempt was not allowed")
	}
}
