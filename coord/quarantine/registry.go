package quarantine

import (
	"cmp"
	"slices"
	"time"

	"bramleyquay.example/coord/clock"
	"bramleyquay.example/coord/ranges"
)

// Config configures a Registry.
type Config struct {
	// Threshold is the number of targets that a request must have ended, one after the
	// other, to be refused. With a lower one fewer targets end, and more requests are
	// refused that only ran beside such a one.
	Threshold int
	// Duration is the time for which a request is refused after the last crash. A
	// crash after that time refuses it again.
	Duration time.Duration
	// MinInterval is the least time between two crashes of targets that had answered the
	// request before. Targets that end together, as in a power failure, all run the most
	// frequent requests.
	MinInterval time.Duration
	// MaxSuspects bounds the requests in the registry.
	MaxSuspects int
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{Threshold: 3, Duration: 10 * time.Minute, MinInterval: 50 * time.Millisecond, MaxSuspects: 1024}
}

// Report is a Crash as it is sent to the registry: clocks differ, so times are ages.
type Report struct {
	Fingerprint Fingerprint   `json:"request"`
	Target      ranges.Holder `json:"target"`
	// SinceStarted and SinceEnded are the times since Crash.Started and Crash.Ended.
	SinceStarted time.Duration `json:"started"`
	SinceEnded   time.Duration `json:"ended"`
	First        bool          `json:"first,omitempty"`
}

// Entry is a request that processes watch or refuse.
type Entry struct {
	Fingerprint Fingerprint `json:"request"`
	// Crashes is the number of targets that it has ended.
	Crashes int `json:"crashes"`
	// Age is the time since the first of them. A request that a target completed since
	// is cleared.
	Age time.Duration `json:"age"`
	// Refused is the time for which the request is refused from now on, zero if it is
	// only watched.
	Refused time.Duration `json:"refused,omitempty"`
}

// Registry counts the crashes of all processes. It is not safe for concurrent use.
type Registry struct {
	cfg      Config
	suspects map[Fingerprint]*suspect
	// revision counts the changes of Entries, refusals those of what is refused.
	revision, refusals uint64
}

// suspect is a request that a target was running when it ended. Times are monotonic.
type suspect struct {
	targets     map[ranges.Holder]bool
	crashes     int
	first, last time.Duration
	clearedAt   time.Duration
}

// watchThreshold is the number of crashes from which processes are told of a request.
// One crash makes suspects of all requests that ran beside the one that caused it.
const watchThreshold = 2

// NewRegistry returns an empty registry.
func NewRegistry(cfg Config) *Registry {
	return &Registry{cfg: cfg, suspects: map[Fingerprint]*suspect{}}
}

// Revision increases with each change of Entries other than the passing of time.
func (r *Registry) Revision() uint64 { return r.revision }

// Refusals increases when a request is refused and when a refusal is lifted. Processes
// should hear of that at once.
func (r *Registry) Refusals() uint64 { return r.refusals }

// changed counts a change of a suspect that has the given number of crashes.
func (r *Registry) changed(crashes int) {
	if crashes >= watchThreshold {
		r.revision++
	}
	if crashes >= r.cfg.Threshold {
		r.refusals++
	}
}

// Record counts a crash, once for each target. The crash of a target that had answered
// the request before counts only if the request was sent after the last crash, and so
// may have caused this one by itself: frequent requests run at all targets that end
// together.
func (r *Registry) Record(now clock.Reading, report Report) {
	started, ended := now.Mono-report.SinceStarted, now.Mono-report.SinceEnded
	s := r.suspect(report.Fingerprint)
	if s.targets[report.Target] || ended < s.clearedAt {
		return
	}
	s.targets[report.Target] = true
	if s.crashes > 0 && !report.First && (ended-s.last < r.cfg.MinInterval || started < s.last-r.cfg.MinInterval) {
		return
	}
	if s.crashes == 0 {
		s.first = ended
	}
	s.crashes++
	s.last = max(s.last, ended)
	r.changed(s.crashes)
}

// suspect returns the state of a request, which is added if needed.
func (r *Registry) suspect(f Fingerprint) *suspect {
	s := r.suspects[f]
	if s == nil {
		if len(r.suspects) >= r.cfg.MaxSuspects {
			r.discardOldest()
		}
		s = &suspect{targets: map[ranges.Holder]bool{}}
		r.suspects[f] = s
	}
	return s
}

// Clear removes a request that a target has completed, or that an operator allows. It
// reports whether the request was suspected.
func (r *Registry) Clear(now clock.Reading, f Fingerprint) bool {
	s := r.suspects[f]
	if s == nil || s.crashes == 0 {
		return false
	}
	r.changed(s.crashes)
	s.crashes, s.clearedAt = 0, now.Mono
	return true
}

// Adopt adds an entry that another registry has sent, with its crashes.
func (r *Registry) Adopt(now clock.Reading, e Entry) {
	if s := r.suspects[e.Fingerprint]; s != nil && (s.crashes >= e.Crashes || s.clearedAt > now.Mono-e.Age) {
		return
	}
	last := now.Mono
	if e.Refused > 0 {
		last = now.Mono - (r.cfg.Duration - e.Refused)
	}
	s := r.suspect(e.Fingerprint)
	s.crashes, s.first, s.last = e.Crashes, now.Mono-e.Age, last
	r.changed(s.crashes)
}

// Prune discards the requests whose last crash is more than twice Duration ago. It
// must be called regularly, such as every second.
func (r *Registry) Prune(now clock.Reading) {
	for f, s := range r.suspects {
		if now.Mono-max(s.last, s.clearedAt) > 2*r.cfg.Duration {
			delete(r.suspects, f)
			r.changed(s.crashes)
		}
	}
}

// discardOldest removes the request with the fewest crashes, of these the oldest.
func (r *Registry) discardOldest() {
	var oldest Fingerprint
	var found *suspect
	for f, s := range r.suspects {
		if found == nil || cmp.Or(cmp.Compare(s.crashes, found.crashes), cmp.Compare(s.last, found.last), cmp.Compare(f, oldest)) < 0 {
			oldest, found = f, s
		}
	}
	delete(r.suspects, oldest)
	r.changed(found.crashes)
}

// Entries returns the requests that processes should watch or refuse, in order of
// their fingerprints.
func (r *Registry) Entries(now clock.Reading) []Entry {
	list := []Entry{}
	for f, s := range r.suspects {
		if s.crashes < watchThreshold {
			continue
		}
		e := Entry{Fingerprint: f, Crashes: s.crashes, Age: now.Mono - s.first}
		if s.crashes >= r.cfg.Threshold {
			e.Refused = max(r.cfg.Duration-(now.Mono-s.last), 0)
		}
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return list
}
