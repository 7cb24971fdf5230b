package throttle

// Level orders requests by urgency; 0 is the most urgent. The requests of a priority are
// ordered by their class, as in the queues of the gates.
type Level int

// trackedPriorities is the number of priorities with levels of their own; less urgent
// ones share the last.
const trackedPriorities = 4

// levelCount is the number of levels.
const levelCount = classCount * trackedPriorities

// Class orders the requests of a priority.
type Class int

const (
	// Final is the class of requests whose callers have no time to retry.
	Final Class = iota
	// InTime is the class of requests that can still be answered within their objective.
	InTime
	// Overdue is the class of those that cannot. Without it, callers that were refused and
	// come again late use up what could be served in time.
	Overdue
)

// classCount is the number of classes.
const classCount = 3

// ClassOf returns the class of a request. overdue is true if its latency objective has
// passed.
func ClassOf(finalAttempt, overdue bool) Class {
	switch {
	case finalAttempt:
		return Final
	case overdue:
		return Overdue
	default:
		return InTime
	}
}

// LevelOf returns the level of a request.
func LevelOf(priority int, c Class) Level {
	return Level(classCount*min(max(priority, 0), trackedPriorities-1) + int(c))
}

// Levels returns all levels in order.
func Levels() []Level {
	all := make([]Level, levelCount)
	for i := range all {
		all[i] = Level(i)
	}
	return all
}

// Split returns the priority and the class of a level.
func (l Level) Split() (priority int, c Class) {
	return int(l) / classCount, Class(int(l) % classCount)
}

const (
	// leastMultiple is the number of requests that are sent for each accepted one of the
	// least urgent level. At 1.5 gates refuse a third of what they get.
	leastMultiple = 1.5
	// multiplePerPriority is added for each more urgent priority up to two, so that its
	// requests find free slots before less urgent ones do.
	multiplePerPriority = 0.25
	// multipleFinal is added for final attempts: refusing one loses the work of the
	// request that made it.
	multipleFinal = 0.5
)

func (l Level) multiple() float64 {
	priority, class := l.Split()
	m := leastMultiple + multiplePerPriority*float64(max(2-priority, 0))
	if class == Final {
		m += multipleFinal
	}
	return m
}

// pool is a range of levels with one share.
type pool struct {
	first    Level
	requests float64
	// allowed is the sum of the accepted requests times their multiples.
	allowed float64
}

func (p pool) share() float64 {
	return min(max(0, (p.requests-p.allowed-graceRequests)/(p.requests+1)), maxShare)
}

// shares returns the share that is refused at each level. It never decreases from a level
// to a less urgent one: where gates refuse more of an urgent level, for example because
// its requests are longer, both levels are pooled, since otherwise less urgent requests
// would take the slots (pool adjacent violators).
func (t *Throttle) shares() [levelCount]float64 {
	var pools [levelCount]pool
	n := 0
	for l := range Level(levelCount) {
		c := t.total[l]
		p := pool{first: l, requests: float64(c.requests), allowed: l.multiple() * float64(c.accepted)}
		// A level without requests has the share of the next more urgent one.
		for n > 0 && (c.requests == 0 || pools[n-1].share() > p.share()) {
			n--
			p = pool{first: pools[n].first, requests: pools[n].requests + p.requests, allowed: pools[n].allowed + p.allowed}
			if c.requests == 0 {
				break
			}
		}
		pools[n] = p
		n++
	}
	var out [levelCount]float64
	for i, p := range pools[:n] {
		for l := p.first; l < levelCount; l++ {
			out[l] = pools[i].share()
		}
	}
	return out
}
