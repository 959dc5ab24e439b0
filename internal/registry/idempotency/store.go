package idempotency

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"unicode/utf8"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

var (
	// ErrDuplicateScope is returned by Table.Restore if two records have the same scope.
	ErrDuplicateScope = errors.New("duplicate scope among the claim records")
	// ErrInvalidText is returned by Table.Restore if a text field of a record is not valid UTF-8.
	ErrInvalidText = errors.New("claim record field is not valid UTF-8")
)

// encodedRecord is one claim record in its stored form. It is an element of recordStore's linked list.
type encodedRecord struct {
	scope          string
	content        []byte // an encoded wire.ClaimRecord; replaced as a whole, never modified in place
	expires        monotonic.Micros
	previous, next *encodedRecord
}

// decode returns the decoded record. The content was encoded by put or validated by parse, so it panics on an error.
func (r *encodedRecord) decode() *wire.ClaimRecord {
	record := &wire.ClaimRecord{}
	if err := proto.Unmarshal(r.content, record); err != nil {
		panic(err)
	}
	return record
}

// recordStore holds the records by scope and in the order of their expiry.
//
// Invariants:
//   - The list from first to last has each record of byScope once.
//   - expires never decreases along the list. Records with equal expiry are in the order in which they were written, so that all replicas
//     have the same list.
//   - size is the total length of the contents.
type recordStore struct {
	byScope     map[string]*encodedRecord
	first, last *encodedRecord
	size        int
}

func newRecordStore() recordStore { return recordStore{byScope: map[string]*encodedRecord{}} }

// loadRecordStore returns a store with the given encoded records. It does not copy them.
func loadRecordStore(contents [][]byte) (recordStore, error) {
	store := recordStore{byScope: make(map[string]*encodedRecord, len(contents))}
	records, sorted := make([]encodedRecord, len(contents)), true
	for index, content := range contents {
		record := &records[index]
		if err := record.parse(content); err != nil {
			return recordStore{}, err
		}
		sorted = sorted && (index == 0 || records[index-1].expires <= record.expires)
	}
	if !sorted { // snapshots of earlier releases are sorted by scope
		slices.SortStableFunc(records, func(first, second encodedRecord) int { return cmp.Compare(first.expires, second.expires) })
	}
	for index := range records {
		store.insert(&records[index])
	}
	if len(store.byScope) != len(records) {
		return recordStore{}, ErrDuplicateScope
	}
	return store, nil
}

// The fields of wire.ClaimRecord that parse reads.
const (
	scopeField       protowire.Number = 1
	stateField       protowire.Number = 3
	attemptField     protowire.Number = 4
	proxyField       protowire.Number = 5
	expiresField     protowire.Number = 7
	voidedField      protowire.Number = 8
	fenceField       protowire.Number = 9
	recordFieldLimit                  = fenceField + 1
)

// utf8Fields marks the string fields, which proto.Unmarshal requires to be valid UTF-8.
var utf8Fields = [recordFieldLimit]bool{scopeField: true, stateField: true, attemptField: true, proxyField: true, voidedField: true}

// parse sets the content to an encoded record, and reads the scope and the expiry from it. It fails if decode would. It scans the fields
// instead of decoding the message, because a replica that installs a snapshot parses all records at once.
func (r *encodedRecord) parse(content []byte) error {
	r.content = content
	for remaining := content; len(remaining) > 0; {
		number, kind, tagLength := protowire.ConsumeTag(remaining)
		if tagLength < 0 {
			return protowire.ParseError(tagLength)
		}
		value := remaining[tagLength:]
		valueLength := protowire.ConsumeFieldValue(number, kind, value)
		if valueLength < 0 {
			return protowire.ParseError(valueLength)
		}
		switch {
		case kind == protowire.BytesType:
			if err := r.parseBytes(number, value); err != nil {
				return err
			}
		case kind == protowire.VarintType && number == expiresField:
			expires, _ := protowire.ConsumeVarint(value)
			r.expires = monotonic.Micros(expires)
		}
		remaining = value[valueLength:]
	}
	return nil
}

// parseBytes reads or validates one length-delimited field. The caller has validated its length.
func (r *encodedRecord) parseBytes(number protowire.Number, value []byte) error {
	content, _ := protowire.ConsumeBytes(value)
	if int(number) < len(utf8Fields) && utf8Fields[number] && !utf8.Valid(content) {
		return fmt.Errorf("%w: field %d", ErrInvalidText, number)
	}
	switch number {
	case scopeField:
		r.scope = string(content)
	case fenceField:
		return proto.Unmarshal(content, &wire.LeaderTimestamp{})
	}
	return nil
}

// put encodes a record and stores it. It replaces an earlier record of the same scope.
func (s *recordStore) put(record *wire.ClaimRecord) {
	content, err := proto.Marshal(record)
	if err != nil {
		panic(err) // every record was decoded or built in this package
	}
	expires := monotonic.Micros(record.Expires)
	existing := s.byScope[record.Scope]
	if existing != nil && existing.expires == expires {
		s.size += len(content) - len(existing.content)
		existing.content = content
		return
	}
	if existing != nil {
		s.remove(existing)
	}
	s.insert(&encodedRecord{scope: record.Scope, content: content, expires: expires})
}

// insert adds a record after all records that expire no later. The leader clock only rises, so this is nearly always the end of the list.
func (s *recordStore) insert(added *encodedRecord) {
	previous := s.last
	for previous != nil && previous.expires > added.expires {
		previous = previous.previous
	}
	added.previous, added.next = previous, s.first
	if previous != nil {
		added.next, previous.next = previous.next, added
	} else {
		s.first = added
	}
	if added.next != nil {
		added.next.previous = added
	} else {
		s.last = added
	}
	s.byScope[added.scope] = added
	s.size += len(added.content)
}

// remove removes a record from the store.
func (s *recordStore) remove(removed *encodedRecord) {
	if removed.previous != nil {
		removed.previous.next = removed.next
	} else {
		s.first = removed.next
	}
	if removed.next != nil {
		removed.next.previous = removed.previous
	} else {
		s.last = removed.previous
	}
	delete(s.byScope, removed.scope)
	s.size -= len(removed.content)
}
