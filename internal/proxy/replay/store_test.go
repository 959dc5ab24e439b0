package replay

import (
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
)

type fakeClock struct{ now monotonic.Micros }

func (c *fakeClock) Now() monotonic.Micros { return c.now }

// TestStoreReplacesExpiredResponse guards against returning a response whose claim has expired: if the key has run again since, the
// store must have the response of that run.
func TestStoreReplacesExpiredResponse(t *testing.T) {
	clock := &fakeClock{now: monotonic.Minute}
	store := New(clock)
	put := func(body string) {
		store.Put("key", []byte("digest"), &request.Response{Body: []byte(body)})
	}
	put("first")
	put("second")
	if recorded := store.Lookup("key", []byte("digest")); recorded == nil || string(recorded.Body) != "first" {
		t.Fatalf("before it expired: %v", recorded)
	}
	clock.now += defaultTTL
	put("third")
	recorded := store.Lookup("key", []byte("digest"))
	if recorded == nil || string(recorded.Body) != "third" || store.totalBytes != len("third") || len(store.order) != 1 {
		t.Fatalf("after it expired: %v, %d bytes, %d in order", recorded, store.totalBytes, len(store.order))
	}
}

// TestStoreHonoursTTL checks that a store with another TTL keeps responses for that long.
func TestStoreHonoursTTL(t *testing.T) {
	clock := &fakeClock{now: monotonic.Minute}
	store := New(clock)
	store.TTL = 200 * monotonic.Second
	store.Put("one", []byte("d"), &request.Response{Status: 200})
	clock.now += 199 * monotonic.Second
	if store.Lookup("one", []byte("d")) == nil {
		t.Error("the response was removed before it expired")
	}
	clock.now += monotonic.Second
	if store.Lookup("one", []byte("d")) != nil {
		t.Error("the response is still there after it expired")
	}
}
