// Package eventlog carries numbered events from where they happen to the log and the counters, over watermill.
package eventlog

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"strconv"
	"sync"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/apex/log"
	jsonhandler "github.com/apex/log/handlers/json"
)

const topic = "bulletin"

// EventLog publishes events and counts them by number.
type EventLog struct {
	channel *gochannel.GoChannel
	logger  *log.Logger
	lock    sync.Mutex
	counts  map[int]uint64
	queue   chan *message.Message
	closed  bool // posts is closed; nothing is sent on it under another than lock
	done    chan struct{}
}

// New starts a board that logs to standard error.
func New(program, name, level string) (*EventLog, error) {
	return newEventLog(program, name, level, os.Stderr)
}

func newEventLog(program, name, level string, output io.Writer) (*EventLog, error) {
	threshold, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	events := &EventLog{
		// One at a time: otherwise events overtake one another, and closing the channel throws away those still on their way.
		channel: gochannel.NewGoChannel(gochannel.Config{BlockPublishUntilSubscriberAck: true}, watermill.NopLogger{}),
		logger:  &log.Logger{Handler: jsonhandler.New(output), Level: threshold},
		counts:  map[int]uint64{}, queue: make(chan *message.Message, 4096), done: make(chan struct{}),
	}
	entries, err := events.channel.Subscribe(context.Background(), topic)
	if err != nil {
		return nil, err
	}
	go func() {
		for entry := range events.queue {
			_ = events.channel.Publish(topic, entry)
		}
		_ = events.channel.Close()
	}()
	go func() {
		defer close(events.done)
		for entry := range entries {
			events.write(program, name, entry)
			entry.Ack()
		}
	}()
	return events, nil
}

// Publish publishes one event. It never blocks: when the board is swamped the event is only counted.
func (l *EventLog) Publish(number int, attributes map[string]any) {
	if l == nil {
		return
	}
	if Catalogue[number].Level < l.logger.Level {
		// Nobody will read it: it's only counted.
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
	entry.Metadata.Set("number", strconv.Itoa(number))
	l.lock.Lock()
	defer l.lock.Unlock()
	l.counts[number]++
	if l.closed {
		return
	}
	select {
	case l.queue <- entry:
	default:
	}
}

func (l *EventLog) write(program, name string, entry *message.Message) {
	number, _ := strconv.Atoi(entry.Metadata.Get("number"))
	fields := log.Fields{"event": number, "program": program, "name": name}
	var details map[string]any
	if json.Unmarshal(entry.Payload, &details) == nil {
		for key, value := range details {
			fields[key] = value
		}
	}
	event := Catalogue[number]
	writers[event.Level](l.logger.WithFields(fields), event.Text)
}

var writers = map[log.Level]func(*log.Entry, string){
	log.DebugLevel: (*log.Entry).Debug,
	log.InfoLevel:  (*log.Entry).Info,
	log.WarnLevel:  (*log.Entry).Warn,
	log.ErrorLevel: (*log.Entry).Error,
}

// Counts tells how often each event was posted.
func (l *EventLog) Counts() map[int]uint64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	counts := map[int]uint64{}
	for number, count := range l.counts {
		counts[number] = count
	}
	return counts
}

// Close writes what is still queued.
func (l *EventLog) Close() {
	l.lock.Lock()
	l.closed = true
	close(l.queue)
	l.lock.Unlock()
	<-l.done
}
