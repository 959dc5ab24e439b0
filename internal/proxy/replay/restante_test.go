package replay

import (
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
)

type still struct{ now monotonic.Micros }

func (still *still) Now() monotonic.Micros { return still.now }

// TestKeyThatRunsAnew: the shelf gives the answer of a key's last run, not one that has outlived its claim.
func TestKeyThatRunsAnew(t *testing.T) {
	clock := &still{now: monotonic.Minute}
	shelf := New(clock)
	put := func(body string) {
		shelf.Put("key", []byte("digest"), &request.Answer{Body: []byte(body)})
	}
	put("first")
	put("second")
	if kept := shelf.Find("key", []byte("digest")); kept == nil || string(kept.Body) != "first" {
		t.Fatalf("within its life: %v", kept)
	}
	clock.now += life
	put("third")
	kept := shelf.Find("key", []byte("digest"))
	if kept == nil || string(kept.Body) != "third" || shelf.held != len("third") || len(shelf.order) != 1 {
		t.Fatalf("after its life: %v, %d bytes, %d in order", kept, shelf.held, len(shelf.order))
	}
}

// TestSetLife: a shelf with another life keeps answers for that long.
func TestSetLife(t *testing.T) {
	clock := &still{now: monotonic.Minute}
	shelf := New(clock)
	shelf.Life = 200 * monotonic.Second
	shelf.Put("one", []byte("d"), &request.Answer{Status: 200})
	clock.now += 199 * monotonic.Second
	if shelf.Find("one", []byte("d")) == nil {
		t.Error("it's gone before its end")
	}
	clock.now += monotonic.Second
	if shelf.Find("one", []byte("d")) != nil {
		t.Error("it's there after its end")
	}
}
