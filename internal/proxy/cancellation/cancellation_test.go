package cancellation_test

import (
	"testing"

	"snowflow/internal/proxy/cancellation"
)

var attempt = cancellation.Attempt{ID: "request.1", Proxy: "proxy-1"}

func TestCallerDisconnectsDuringAttempt(t *testing.T) {
	tracker := cancellation.NewTracker(true)
	if !tracker.Begin(attempt) {
		t.Fatal("the first attempt was not allowed")
	}
	if cancelled := tracker.CallerDisconnected(); cancelled == nil || *cancelled != attempt {
		t.Errorf("to be cancelled: %v", cancelled)
	}
	if !tracker.End() {
		t.Error("the end of the attempt doesn't report that the caller disconnected")
	}
	if tracker.Begin(attempt) {
		t.Error("another attempt was allowed")
	}
}

func TestCallerDisconnectsBetweenAttempts(t *testing.T) {
	tracker := cancellation.NewTracker(true)
	tracker.Begin(attempt)
	if tracker.End() {
		t.Error("the end of the attempt reports that the caller disconnected")
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
		t.Error("the end of the attempt reports that the caller disconnected")
	}
	if !tracker.Begin(attempt) {
		t.Error("another attempt was not allowed")
	}
}
