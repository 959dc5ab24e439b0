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

// Board publishes events and counts them by number.
type Board struct {
	channel *gochannel.GoChannel
	logger  *log.Logger
	lock    sync.Mutex
	counts  map[int]uint64
	posts   chan *message.Message
	closed  bool // posts is closed; nothing is sent on it under another than lock
	done    chan struct{}
}

// NewBoard starts a board that logs to standard error.
func NewBoard(program, name, level string) (*Board, error) {
	return newBoard(program, name, level, os.Stderr)
}

func newBoard(program, name, level string, output io.Writer) (*Board, error) {
	threshold, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	board := &Board{
		// One at a time: otherwise events overtake one another, and closing the channel throws away those still on their way.
		channel: gochannel.NewGoChannel(gochannel.Config{BlockPublishUntilSubscriberAck: true}, watermill.NopLogger{}),
		logger:  &log.Logger{Handler: jsonhandler.New(output), Level: threshold},
		counts:  map[int]uint64{}, posts: make(chan *message.Message, 4096), done: make(chan struct{}),
	}
	entries, err := board.channel.Subscribe(context.Background(), topic)
	if err != nil {
		return nil, err
	}
	go func() {
		for post := range board.posts {
			_ = board.channel.Publish(topic, post)
		}
		_ = board.channel.Close()
	}()
	go func() {
		defer close(board.done)
		for entry := range entries {
			board.write(program, name, entry)
			entry.Ack()
		}
	}()
	return board, nil
}

// Post publishes one event. It never blocks: when the board is swamped the event is only counted.
func (board *Board) Post(number int, fields map[string]any) {
	if board == nil {
		return
	}
	if Catalogue[number].Level < board.logger.Level {
		// Nobody will read it: it's only counted.
		board.lock.Lock()
		board.counts[number]++
		board.lock.Unlock()
		return
	}
	payload, err := json.Marshal(fields)
	if err != nil {
		payload = []byte(`{"unprintable":true}`)
	}
	post := message.NewMessage(watermill.NewShortUUID(), payload)
	post.Metadata.Set("number", strconv.Itoa(number))
	board.lock.Lock()
	defer board.lock.Unlock()
	board.counts[number]++
	if board.closed {
		return
	}
	select {
	case board.posts <- post:
	default:
	}
}

func (board *Board) write(program, name string, entry *message.Message) {
	number, _ := strconv.Atoi(entry.Metadata.Get("number"))
	fields := log.Fields{"event": number, "program": program, "name": name}
	var details map[string]any
	if json.Unmarshal(entry.Payload, &details) == nil {
		for key, value := range details {
			fields[key] = value
		}
	}
	listed := Catalogue[number]
	writers[listed.Level](board.logger.WithFields(fields), listed.Text)
}

var writers = map[log.Level]func(*log.Entry, string){
	log.DebugLevel: (*log.Entry).Debug,
	log.InfoLevel:  (*log.Entry).Info,
	log.WarnLevel:  (*log.Entry).Warn,
	log.ErrorLevel: (*log.Entry).Error,
}

// Counts tells how often each event was posted.
func (board *Board) Counts() map[int]uint64 {
	board.lock.Lock()
	defer board.lock.Unlock()
	copied := map[int]uint64{}
	for number, count := range board.counts {
		copied[number] = count
	}
	return copied
}

// Close writes what is still queued.
func (board *Board) Close() {
	board.lock.Lock()
	board.closed = true
	close(board.posts)
	board.lock.Unlock()
	<-board.done
}
