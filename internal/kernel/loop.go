package kernel

import (
	"context"
	"log/slog"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/galenalever/galenalever/internal/clock"
)

// mailboxCapacity bounds the messages that wait for the control loop.
const mailboxCapacity = 1024

// Message is a typed message to the control loop. Each message has a struct type of
// its own, by which its handlers are found.
type Message interface {
	// MessageName names the type in logs and metrics.
	MessageName() string
}

// Loop is the control loop: one goroutine that runs every handler of control
// state. Handlers must neither block nor do I/O.
type Loop struct {
	clock    clock.Clock
	log      *slog.Logger
	mailbox  chan Message
	handlers map[reflect.Type][]func(Message)
	emitted  []Message
	handled  atomic.Uint64
	dropped  atomic.Uint64
	busy     atomic.Int64
}

// NewLoop returns a loop that is not running yet.
func NewLoop(clk clock.Clock, log *slog.Logger) *Loop {
	return &Loop{
		clock:    clk,
		log:      log,
		mailbox:  make(chan Message, mailboxCapacity),
		handlers: make(map[reflect.Type][]func(Message)),
	}
}

// Subscribe adds a handler for messages of type M. It must be called during
// Provision. Handlers of one type run in order of subscription, all on the
// control goroutine.
func Subscribe[M Message](l *Loop, handle func(M)) {
	t := reflect.TypeFor[M]()
	l.handlers[t] = append(l.handlers[t], func(m Message) { handle(m.(M)) })
}

// Post sends a message to the loop and waits for room in the mailbox. It is for
// I/O goroutines; handlers use Emit.
func (l *Loop) Post(ctx context.Context, m Message) error {
	select {
	case l.mailbox <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// PostAndWait posts messages in order and waits until handled is closed, which
// the handler of the last message does, or the context ends. It returns the
// context's error. It is for I/O goroutines.
func (l *Loop) PostAndWait(ctx context.Context, handled <-chan struct{}, messages ...Message) error {
	for _, m := range messages {
		if err := l.Post(ctx, m); err != nil {
			return err
		}
	}
	return Await(ctx, handled)
}

// Await waits until done is closed or the context ends, and returns the
// context's error.
func Await(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// TryPost sends a message if the mailbox has room and reports whether it did. It
// never blocks, so traffic goroutines use it for samples that may be lost.
func (l *Loop) TryPost(m Message) bool {
	select {
	case l.mailbox <- m:
		return true
	default:
		l.dropped.Add(1)
		return false
	}
}

// Emit queues a message that is handled after the current one and before those in
// the mailbox. Only handlers on the control goroutine may call it.
func (l *Loop) Emit(m Message) { l.emitted = append(l.emitted, m) }

// After delivers a message to the loop once d has passed. Any goroutine may
// call it.
func (l *Loop) After(d time.Duration, m Message) clock.Timer {
	return l.clock.AfterFunc(d, func() { l.deliver(m) })
}

// deliver posts a timer's message. If the mailbox is full, it tries again later,
// so that the message is not lost.
func (l *Loop) deliver(m Message) {
	if !l.TryPost(m) {
		l.clock.AfterFunc(timerRetryDelay, func() { l.deliver(m) })
	}
}

// timerRetryDelay is the delay of a timer's message when the mailbox is full.
const timerRetryDelay = 10 * time.Millisecond

// Run handles messages until the context ends. It is called once, by the
// kernel or by a test.
func (l *Loop) Run(ctx context.Context) {
	for {
		select {
		case m := <-l.mailbox:
			l.dispatch(m)
		case <-ctx.Done():
			return
		}
	}
}

// Drain handles all waiting messages and returns. It is for tests that drive
// the loop on a fake clock from a single goroutine.
func (l *Loop) Drain() {
	for {
		select {
		case m := <-l.mailbox:
			l.dispatch(m)
		default:
			return
		}
	}
}

// Stats returns the current statistics. Any goroutine may call it.
func (l *Loop) Stats() LoopStats {
	return LoopStats{
		Handled: l.handled.Load(),
		Dropped: l.dropped.Load(),
		Busy:    time.Duration(l.busy.Load()),
		Waiting: len(l.mailbox),
	}
}

// LoopStats counts the work of a control loop since its start.
type LoopStats struct {
	// Handled includes emitted messages.
	Handled uint64 `json:"handled"`
	// Dropped counts failed TryPost calls, including those for messages of timers,
	// which are posted again.
	Dropped uint64 `json:"dropped"`
	// Waiting is the number of messages in the mailbox.
	Waiting int `json:"waiting"`
	// Busy is the time spent in handlers.
	Busy time.Duration `json:"busy_ns"`
}

func (l *Loop) dispatch(m Message) {
	begin := time.Now()
	l.handle(m)
	for len(l.emitted) > 0 {
		next := l.emitted[0]
		l.emitted = l.emitted[1:]
		l.handle(next)
	}
	l.emitted = nil
	l.busy.Add(int64(time.Since(begin)))
}

func (l *Loop) handle(m Message) {
	l.handled.Add(1)
	handlers := l.handlers[reflect.TypeOf(m)]
	if len(handlers) == 0 {
		l.log.Warn("no handler for message", "message", m.MessageName())
	}
	for _, handle := range handlers {
		handle(m)
	}
}
