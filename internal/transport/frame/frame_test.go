package frame

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"snowflow/internal/transport/wire"
)

// TestRoundTrip checks that frames are read as they were appended, by Append as well as by AppendMessage.
func TestRoundTrip(t *testing.T) {
	first := Frame{Kind: wire.Kind_forward, Flags: Reply, RequestID: 1 << 40, Content: []byte("content")}
	stream := Append(nil, first)
	message := &wire.ClaimRequest{Scope: "one"}
	stream, err := AppendMessage(stream, Frame{Kind: wire.Kind_claim, RequestID: 2}, message)
	if err != nil {
		t.Fatal(err)
	}
	reader := bytes.NewReader(stream)
	got, err := Read(reader, len(first.Content))
	if err != nil || got.Kind != first.Kind || got.Flags != first.Flags || got.RequestID != first.RequestID || !bytes.Equal(got.Content, first.Content) {
		t.Errorf("the first frame is read as %+v, %v", got, err)
	}
	got, err = Read(reader, 1<<10)
	if err != nil || got.Kind != wire.Kind_claim || got.RequestID != 2 || len(got.Content) == 0 {
		t.Errorf("the second frame is read as %+v, %v", got, err)
	}
	if _, err := Read(reader, 1<<10); !errors.Is(err, io.EOF) {
		t.Errorf("the end is read as %v", err)
	}
}

// TestMalformedFrames checks that Read rejects a frame if any byte is changed (so also a version that is not adjacent), if its content is
// longer than the limit, or if the stream ends within it.
func TestMalformedFrames(t *testing.T) {
	content := []byte("content")
	valid := Append(nil, Frame{Kind: wire.Kind_forward, RequestID: 7, Content: content})
	const lengthOffset, lengthEnd = 20, 24
	for offset := range valid {
		if offset >= lengthOffset && offset < lengthEnd {
			continue // a changed length gives a frame beyond the limit or a stream that ends early
		}
		damaged := bytes.Clone(valid)
		damaged[offset] ^= 0x10
		if _, err := Read(bytes.NewReader(damaged), len(content)); !errors.Is(err, ErrMalformed) {
			t.Errorf("with byte %d changed: %v", offset, err)
		}
	}
	if _, err := Read(bytes.NewReader(valid), len(content)-1); !errors.Is(err, ErrMalformed) {
		t.Errorf("beyond the limit: %v", err)
	}
	if _, err := Read(bytes.NewReader(valid[:len(valid)-1]), len(content)); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("cut short: %v", err)
	}
}
