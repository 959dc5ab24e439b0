package wal

import (
	"encoding/hex"
	"testing"
)

// TestRecordFormat checks the encoding of a record, which must not change: files of earlier releases must stay readable.
func TestRecordFormat(t *testing.T) {
	encoded := record{number: 3, synced: 2, payload: []byte("payload")}.appendTo(nil)
	const want = "574f4e53" + "47bb0400" + "0300000000000000" + "0200000000000000" + "07000000" + "00000000" + "7061796c6f6164"
	if got := hex.EncodeToString(encoded); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	decoded, valid := decodeRecord(append(encoded, "trailing data"...))
	if !valid || decoded.number != 3 || decoded.synced != 2 || string(decoded.payload) != "payload" || decoded.size() != int64(len(encoded)) {
		t.Errorf("decoded %+v, valid %v", decoded, valid)
	}
}
