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
type record struct {
	scope         string
	content       []byte // an encoded wire.ClaimRecord; never changed, only replaced
	expires       monotonic.Micros
	before, after *record
}

func (record *record) decoded() *wire.ClaimRecord {
	message := &wire.ClaimRecord{}
	if err := proto.Unmarshal(record.content, message); err != nil {
		panic(err) // it was encoded here, or looked through when it was taken
	}
	return message
}

// kept holds records by scope and in the order in which they end.
// Invariants: the list from first to last has each record of byScope once, expiries never fall along it, and equal ones stand in the
// order of their writing, which makes two copies' lists the same; size is the sum of the contents' lengths.
type kept struct {
	byScope     map[string]*record
	first, last *record
	size        int
}

func nothing() kept { return kept{byScope: map[string]*record{}} }

// of keeps encoded records.
func of(contents [][]byte) (kept, error) {
	made := kept{byScope: make(map[string]*record, len(contents))}
	records, ordered := make([]record, len(contents)), true
	for index, content := range contents {
		present := &records[index]
		if err := present.look(content); err != nil {
			return kept{}, err
		}
		ordered = ordered && (index == 0 || records[index-1].expires <= present.expires)
	}
	if !ordered { // a view of a build that sorted by scope
		slices.SortStableFunc(records, func(one, other record) int { return cmp.Compare(one.expires, other.expires) })
	}
	for index := range records {
		made.add(&records[index])
	}
	if len(made.byScope) != len(records) {
		return kept{}, errors.New("a scope has two claims")
	}
	return made, nil
}

// The fields of wire.ClaimRecord that are looked at without decoding all.
const (
	scopeField   protowire.Number = 1
	expiresField protowire.Number = 7
	fenceField   protowire.Number = 9
)

// texts are the fields that decoding wants as UTF-8.
var texts = [...]bool{scopeField: true, 3: true, 4: true, 5: true, 8: true}

// look takes an encoded record over, reads its scope and its end, and makes sure that decoding it won't fail.
func (record *record) look(content []byte) error {
	record.content = content
	for rest := content; len(rest) > 0; {
		number, kind, length := protowire.ConsumeTag(rest)
		if length < 0 {
			return protowire.ParseError(length)
		}
		value := rest[length:]
		size := protowire.ConsumeFieldValue(number, kind, value)
		if size < 0 {
			return protowire.ParseError(size)
		}
		if kind == protowire.BytesType {
			inside, _ := protowire.ConsumeBytes(value)
			if int(number) < len(texts) && texts[number] && !utf8.Valid(inside) {
				return fmt.Errorf("field %d of a claim is no text", number)
			}
			if number == fenceField {
				if err := proto.Unmarshal(inside, &wire.LeaderTimestamp{}); err != nil {
					return err
				}
			}
			if number == scopeField {
				record.scope = string(inside)
			}
		}
		if kind == protowire.VarintType && number == expiresField {
			expires, _ := protowire.ConsumeVarint(value)
			record.expires = monotonic.Micros(expires)
		}
		rest = value[size:]
	}
	return nil
}

// put writes a scope's record in the place of any earlier one.
func (kept *kept) put(message *wire.ClaimRecord) {
	content, err := proto.Marshal(message)
	if err != nil {
		panic(err) // it was decoded or built here
	}
	present := kept.byScope[message.Scope]
	if present != nil && present.expires == monotonic.Micros(message.Expires) {
		kept.size += len(content) - len(present.content)
		present.content = content
		return
	}
	if present != nil {
		kept.drop(present)
	}
	kept.add(&record{scope: message.Scope, content: content, expires: monotonic.Micros(message.Expires)})
}

// add puts a record behind all that end no later. Holder time only rises, so that is nearly always the end of the list.
func (kept *kept) add(fresh *record) {
	behind := kept.last
	for behind != nil && behind.expires > fresh.expires {
		behind = behind.before
	}
	fresh.before, fresh.after = behind, kept.first
	if behind != nil {
		fresh.after, behind.after = behind.after, fresh
	} else {
		kept.first = fresh
	}
	if fresh.after != nil {
		fresh.after.before = fresh
	} else {
		kept.last = fresh
	}
	kept.byScope[fresh.scope] = fresh
	kept.size += len(fresh.content)
}

func (kept *kept) drop(gone *record) {
	if gone.before != nil {
		gone.before.after = gone.after
	} else {
		kept.first = gone.after
	}
	if gone.after != nil {
		gone.after.before = gone.before
	} else {
		kept.last = gone.before
	}
	delete(kept.byScope, gone.scope)
	kept.size -= len(gone.content)
}
