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

// record is one claim as it is kept: encoded. Most are written once and never looked at again, while a view needs all of them at once.
type encodedRecord struct {
	scope          string
	content        []byte // an encoded wire.ClaimRecord; never changed, only replaced
	expires        monotonic.Micros
	previous, next *encodedRecord
}

func (r *encodedRecord) decode() *wire.ClaimRecord {
	message := &wire.ClaimRecord{}
	if err := proto.Unmarshal(r.content, message); err != nil {
		panic(err) // it was encoded here, or looked through when it was taken
	}
	return message
}

// kept holds records by scope and in the order in which they end.
// Invariants: the list from first to last has each record of byScope once, expiries never fall along it, and equal ones stand in the
// order of their writing, which makes two copies' lists the same; size is the sum of the contents' lengths.
type recordStore struct {
	byScope     map[string]*encodedRecord
	first, last *encodedRecord
	size        int
}

func newRecordStore() recordStore { return recordStore{byScope: map[string]*encodedRecord{}} }

// of keeps encoded records.
func loadRecordStore(contents [][]byte) (recordStore, error) {
	store := recordStore{byScope: make(map[string]*encodedRecord, len(contents))}
	records, sorted := make([]encodedRecord, len(contents)), true
	for index, content := range contents {
		present := &records[index]
		if err := present.parse(content); err != nil {
			return recordStore{}, err
		}
		sorted = sorted && (index == 0 || records[index-1].expires <= present.expires)
	}
	if !sorted { // a view of a build that sorted by scope
		slices.SortStableFunc(records, func(first, second encodedRecord) int { return cmp.Compare(first.expires, second.expires) })
	}
	for index := range records {
		store.insert(&records[index])
	}
	if len(store.byScope) != len(records) {
		return recordStore{}, errors.New("a scope has two claims")
	}
	return store, nil
}

// The fields of wire.ClaimRecord that are looked at without decoding all.
const (
	scopeField   protowire.Number = 1
	expiresField protowire.Number = 7
	fenceField   protowire.Number = 9
)

// texts are the fields that decoding wants as UTF-8.
var utf8Fields = [...]bool{scopeField: true, 3: true, 4: true, 5: true, 8: true}

// look takes an encoded record over, reads its scope and its end, and makes sure that decoding it won't fail.
func (r *encodedRecord) parse(content []byte) error {
	r.content = content
	for remaining := content; len(remaining) > 0; {
		number, kind, length := protowire.ConsumeTag(remaining)
		if length < 0 {
			return protowire.ParseError(length)
		}
		value := remaining[length:]
		size := protowire.ConsumeFieldValue(number, kind, value)
		if size < 0 {
			return protowire.ParseError(size)
		}
		if kind == protowire.BytesType {
			nested, _ := protowire.ConsumeBytes(value)
			if int(number) < len(utf8Fields) && utf8Fields[number] && !utf8.Valid(nested) {
				return fmt.Errorf("field %d of a claim is no text", number)
			}
			if number == fenceField {
				if err := proto.Unmarshal(nested, &wire.LeaderTimestamp{}); err != nil {
					return err
				}
			}
			if number == scopeField {
				r.scope = string(nested)
			}
		}
		if kind == protowire.VarintType && number == expiresField {
			expires, _ := protowire.ConsumeVarint(value)
			r.expires = monotonic.Micros(expires)
		}
		remaining = value[size:]
	}
	return nil
}

// put writes a scope's record in the place of any earlier one.
func (s *recordStore) put(message *wire.ClaimRecord) {
	content, err := proto.Marshal(message)
	if err != nil {
		panic(err) // it was decoded or built here
	}
	present := s.byScope[message.Scope]
	if present != nil && present.expires == monotonic.Micros(message.Expires) {
		s.size += len(content) - len(present.content)
		present.content = content
		return
	}
	if present != nil {
		s.remove(present)
	}
	s.insert(&encodedRecord{scope: message.Scope, content: content, expires: monotonic.Micros(message.Expires)})
}

// add puts a record behind all that end no later. Holder time only rises, so that is nearly always the end of the list.
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
