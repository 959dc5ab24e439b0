// Package eventlog writes numbered events to the log, and counts them.
//
// Every log line of a process is one event of the Catalogue. Events pass through a bounded queue to a single writer, so that
// publishing never waits for the log. If the queue is full, an event is counted but not written.
package eventlog

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"os"
	"strconv"
	"sync"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/apex/log"
	jsonhandler "github.com/apex/log/handlers/json"
)

const (
	topic = "events"
	// numberKey is the metadata key of an event's number.
	numberKey = "number"
	// queueLength is the maximum number of events that wait for the writer.
	queueLength = 4096
)

// EventLog publishes events and counts them by number. It is safe for concurrent use. A nil *EventLog discards events.
type EventLog struct {
	program, name string // of the process, part of each line
	channel       *gochannel.GoChannel
	logger        *log.Logger
	queue         chan *message.Message
	done          chan struct{} // closed once the last event is written

	lock   sync.Mutex // guards the fields below and every send on queue
	counts map[int]uint64
	closed bool // whether queue is closed
}

// New starts an event log that writes to standard error. Events below the level are only counted. It fails if the level is not
// one of debug, info, warn, error and fatal.
func New(program, name, level string) (*EventLog, error) {
	return newEventLog(program, name, level, os.Stderr)
}

func newEventLog(program, name, level string, output io.Writer) (*EventLog, error) {
	threshold, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	events := &EventLog{
		program: program, name: name,
		// Blocking until the acknowledgment keeps the events in order, and keeps Close from discarding events that are not written yet.
		channel: gochannel.NewGoChannel(gochannel.Config{BlockPublishUntilSubscriberAck: true}, watermill.NopLogger{}),
		logger:  &log.Logger{Handler: jsonhandler.New(output), Level: threshold},
		counts:  map[int]uint64{}, queue: make(chan *message.Message, queueLength), done: make(chan struct{}),
	}
	entries, err := events.channel.Subscribe(context.Background(), topic)
	if err != nil {
		return nil, err
	}
	go events.forward()
	go events.writeAll(entries)
	return events, nil
}

// forward publishes the queued events until the queue is closed and empty.
func (l *EventLog) forward() {
	for entry := range l.queue {
		_ = l.channel.Publish(topic, entry)
	}
	_ = l.channel.Close()
}

// writeAll writes the published events until the channel is closed.
func (l *EventLog) writeAll(entries <-chan *message.Message) {
	defer close(l.done)
	for entry := range entries {
		l.write(entry)
		entry.Ack()
	}
}

// Publish counts an event and queues it for writing. It never blocks.
func (l *EventLog) Publish(number int, attributes Attributes) {
	if l == nil {
		return
	}
	if Catalogue[number].Level < l.logger.Level {
		l.lock.Lock()
		l.counts[number]++
		l.lock.Unlock()
		return
	}
	payload, err := json.Marshal(attributes)
	if err != nil {
		payload = []byte(`{"unprintable":true}`)
	}
	entry := message.NewMessage(watermill.NewShortUUID(), payload)
	entry.Metadata.Set(numberKey, strconv.Itoa(number))
	l.lock.Lock()
	defer l.lock.Unlock()
	l.counts[number]++
	if l.closed {
		return
	}
	select {
	case l.queue <- entry:
	default: // the queue is full: the event is only counted
	}
}

func (l *EventLog) write(entry *message.Message) {
	number, err := strconv.Atoi(entry.Metadata.Get(numberKey))
	if err != nil {
		return // impossible: Publish sets a number
	}
	fields := log.Fields{"event": number, "program": l.program, "name": l.name}
	var attributes Attributes
	if json.Unmarshal(entry.Payload, &attributes) == nil {
		maps.Copy(fields, attributes)
	}
	event := Catalogue[number]
	if write := writers[event.Level]; write != nil {
		write(l.logger.WithFields(fields), event.Text)
	}
}

// writers holds the method that writes a line at each level.
var writers = map[log.Level]func(*log.Entry, string){
	log.DebugLevel: (*log.Entry).Debug,
	log.InfoLevel:  (*log.Entry).Info,
	log.WarnLevel:  (*log.Entry).Warn,
	log.ErrorLevel: (*log.Entry).Error,
}

// Counts returns how often each event was published, by number.
func (l *EventLog) Counts() map[int]uint64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	return maps.Clone(l.counts)
}

// Close writes the queued events and ends the log. Events that are published later are only counted. Close must be called once.
func (l *EventLog) Close() {
	l.lock.Lock()
	l.closed = true
	close(l.queue)
	l.lock.Unlock()
	<-l.done
}
