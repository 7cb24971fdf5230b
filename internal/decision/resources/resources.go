// Package resources decides what the connections of clients may occupy: it keeps an
// account of connections and bytes, and chooses whose connection is closed when others
// need what it occupies. It has no locks; callers serialise the use of an Account.
package resources

import "time"

// Limits bound an account.
type Limits struct {
	// Connections is the maximum number of open connections.
	Connections int
	// Bytes is the maximum number of bytes that connections and their requests occupy.
	// What all connections need is reserved, so that requests cannot keep others from
	// connecting.
	Bytes int64
	// ConnectionBytes is what an open connection occupies beside its request.
	ConnectionBytes int64
	// KeptConnections is the number of open connections up to which one is kept after a
	// response; 0 means no limit. With Keep at most as many become idle, so that the rest
	// is free again once its responses are sent, however long IdleGrace is.
	KeptConnections int
	// Grace is the time without progress after which a connection may be closed for the
	// sake of others; OpenGrace is that of a connection on which nothing has arrived, and
	// IdleGrace that of one between two requests.
	Grace, OpenGrace, IdleGrace time.Duration
	// Prompt means that clients send without pauses, so that the grace is shortened at once
	// in a crowd; see shortage.
	Prompt bool
	// Rate is the progress in bytes per second that counts as none.
	Rate float64
}

// Phase is what a connection is doing.
type Phase uint8

const (
	// Opened means that no byte of a first request has arrived.
	Opened Phase = iota
	// Head means that a part of a request's header has arrived.
	Head
	// Body means that a request's body is awaited and nothing has been run.
	Body
	// Running means that the request has been passed on, or that its outcome is not yet
	// known. Such a connection is never closed for the sake of others.
	Running
	// Response means that the client is to read a response.
	Response
	// Idle means that no byte of the next request has arrived.
	Idle
)

// Holder is an open connection in an Account.
type Holder struct {
	phase Phase
	// held is what the current request occupies, in bytes, beside the connection.
	held int64
	// currentUntil is the time until which the client's progress suffices.
	currentUntil time.Duration
	// In the phases Body and Response that time passes only while this process waits
	// for the client: reads and writes count those that are blocked, and pausedAt is
	// when there was none any more.
	reads, writes int
	pausedAt      time.Duration
	// phaseSince is when the phase began, and progressAt when the client last made
	// progress in it. In a steady phase it went on at the rate after a pause.
	phaseSince, progressAt time.Duration
	steady                 bool
	// requests counts the requests that have ended.
	requests int
	closing  bool
	index    int
}

// Phase returns what the connection is doing.
func (h *Holder) Phase() Phase { return h.phase }

// Held returns what the current request occupies, in bytes.
func (h *Holder) Held() int64 { return h.held }

// Account is the account of one group of connections. All times are since any fixed
// time.
type Account struct {
	limits  Limits
	holders []*Holder
	// held is what the requests of all holders occupy, in bytes.
	held int64
	// closing counts the holders that are being closed, closingBytes what their
	// requests occupy.
	closing      int
	closingBytes int64
	// noVictimBefore is the time before which no holder can be closed for others.
	noVictimBefore time.Duration
	shortage       shortage
}

// New returns an empty account.
func New(limits Limits) *Account { return &Account{limits: limits} }

// Connections returns the number of open connections.
func (a *Account) Connections() int { return len(a.holders) }

// Used returns the bytes that are occupied.
func (a *Account) Used() int64 {
	return a.held + int64(len(a.holders))*a.limits.ConnectionBytes
}

// requestBytes returns the limit of what all requests occupy.
func (a *Account) requestBytes() int64 {
	return a.limits.Bytes - int64(a.limits.Connections)*a.limits.ConnectionBytes
}

// Decision is the response to a demand.
type Decision struct {
	// Granted means that the demand has been charged. Otherwise it may be repeated
	// when something was released, and at Retry at the latest.
	Granted bool
	Retry   time.Duration
	// Refused means that the demand is not to be repeated: its holder is being closed, or
	// occupies much more than others while no one makes too little progress.
	Refused bool
	// Close lists the holders to close. They are charged until they are removed.
	Close []*Holder
}

// Open adds a connection.
func (a *Account) Open(now time.Duration) (*Holder, Decision) {
	if len(a.holders) < a.limits.Connections {
		a.observe(false, now)
		if len(a.holders) == a.limits.Connections/2 {
			a.shortage.halfFull = now
		}
		h := &Holder{index: len(a.holders), currentUntil: now + a.limits.OpenGrace, phaseSince: now}
		a.holders = append(a.holders, h)
		return h, Decision{Granted: true}
	}
	return nil, a.makeRoom(nil, 0, 1, now)
}

// Keep decides at the begin of a request whether its connection is kept after the
// response.
func (a *Account) Keep() bool {
	return a.limits.KeptConnections <= 0 || len(a.holders) <= a.limits.KeptConnections
}

// Charge charges bytes for the current request of a holder. A demand larger than the
// limit is granted if the requests of others occupy nothing.
func (a *Account) Charge(h *Holder, bytes int64, now time.Duration) Decision {
	if h.closing {
		return Decision{Refused: true}
	}
	if a.held+bytes <= a.requestBytes() || a.held == h.held {
		h.held += bytes
		a.held += bytes
		return Decision{Granted: true}
	}
	d := a.makeRoom(h, bytes, 0, now)
	d.Refused = !a.willFit(bytes, 0) && h.held+bytes > maxShares*a.requestBytes()/int64(a.limits.Connections)
	return d
}

// ChargeUnused charges bytes to a holder only if they are unused: it closes nobody and nobody
// waits for them. It reports whether they were.
func (a *Account) ChargeUnused(h *Holder, bytes int64) bool {
	if h.closing || a.held+bytes > a.requestBytes() {
		return false
	}
	h.held += bytes
	a.held += bytes
	return true
}

// maxShares is how many times its part of the account a request may occupy while there
// is no room: one with a body that nodes keep and a usual header stays below it.
const maxShares = 4

// Release takes back up to the given number of bytes of a holder's charge.
func (a *Account) Release(h *Holder, bytes int64) {
	bytes = min(bytes, h.held)
	h.held -= bytes
	a.held -= bytes
	if h.closing {
		a.closingBytes -= bytes
	}
}

// EndRequest releases what the request of a holder occupied. The holder becomes idle.
func (a *Account) EndRequest(h *Holder, now time.Duration) {
	a.Release(h, h.held)
	h.requests++
	a.SetPhase(h, Idle, now)
}

// Remove removes a holder, whose connection is closed. Removing it again has no effect.
func (a *Account) Remove(h *Holder) {
	if h.index < 0 {
		return
	}
	a.Release(h, h.held)
	if h.closing {
		a.closing--
	}
	last := len(a.holders) - 1
	a.holders[h.index] = a.holders[last]
	a.holders[h.index].index = h.index
	a.holders[last] = nil
	a.holders = a.holders[:last]
	h.index = -1
}

// SetPhase records what a connection is doing from now on.
func (a *Account) SetPhase(h *Holder, phase Phase, now time.Duration) {
	if h.phase == phase {
		return
	}
	h.phase, h.phaseSince, h.progressAt, h.steady = phase, now, now, false
	h.currentUntil, h.pausedAt = now+a.grace(phase), now
}

// BeginRead records that this process waits until the client sends.
func (a *Account) BeginRead(h *Holder, now time.Duration) { h.resume(now, &h.reads) }

// BeginWrite records that this process waits until the client reads.
func (a *Account) BeginWrite(h *Holder, now time.Duration) { h.resume(now, &h.writes) }

// EndRead ends a wait, in which the client sent some bytes.
func (a *Account) EndRead(h *Holder, bytes int, now time.Duration) { a.pause(h, bytes, now, &h.reads) }

// EndWrite ends a wait, in which the client read some bytes.
func (a *Account) EndWrite(h *Holder, bytes int, now time.Duration) {
	a.pause(h, bytes, now, &h.writes)
}

func (h *Holder) resume(now time.Duration, waits *int) {
	before := h.awaitsClient()
	*waits++
	if !before && h.awaitsClient() {
		h.currentUntil += now - h.pausedAt
	}
}

func (a *Account) pause(h *Holder, bytes int, now time.Duration, waits *int) {
	a.Progress(h, bytes, now)
	before := h.awaitsClient()
	*waits--
	if before && !h.awaitsClient() {
		h.pausedAt = now
	}
}

// Expired returns the holders whose header has been arriving, or which have been idle,
// for longer than allowed; 0 means no limit. They are to be closed.
func (a *Account) Expired(header, idle, now time.Duration) []*Holder {
	var expired []*Holder
	for _, h := range a.holders {
		age := now - h.phaseSince
		if !h.closing && (h.phase == Head && header > 0 && age > header || h.phase == Idle && idle > 0 && age > idle) {
			a.close(h)
			expired = append(expired, h)
		}
	}
	return expired
}

// Progress records that the client sent or read bytes. Each byte extends the time in
// which the connection counts as current by its time at Rate, up to Grace from now.
func (a *Account) Progress(h *Holder, bytes int, now time.Duration) {
	pause := now - h.progressAt
	h.steady = h.steady || pause >= minGrace && h.currentUntil >= now && float64(bytes) >= a.limits.Rate*pause.Seconds()
	h.progressAt = now
	earned := time.Duration(float64(bytes) / a.limits.Rate * float64(time.Second))
	h.currentUntil = max(h.currentUntil, min(max(h.currentUntil, now)+earned, now+a.limits.Grace))
}

func (a *Account) grace(phase Phase) time.Duration {
	switch phase {
	case Opened:
		return a.limits.OpenGrace
	case Idle:
		return a.limits.IdleGrace
	}
	return a.limits.Grace
}
