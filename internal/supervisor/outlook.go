package supervisor

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/forecast"
	"willowdeck/internal/gateway/admin"
)

const (
	wordsForm      = 1                      // of what daemons tell each other
	askedAtOnce    = 8                      // instances and neighbours, so that many are asked within a second
	wordWithin     = 500 * time.Millisecond // for an instance to tell its word
	wordsWithin    = 2 * time.Second        // for a neighbour to tell its own; some MB
	mostWords      = 5000                   // that are kept
	forgets        = 60 * time.Second       // words that were not heard again; they are too old long before
	mostNeighbours = 64
	complainEach   = 10 * time.Second // a source's trouble in the log, at most
)

// Looks is what a fleet's file says of looking ahead.
type Looks struct {
	EachMS     float64  `toml:"each_ms"`    // between two rounds of asking
	Neighbours []string `toml:"neighbours"` // other daemons' operators' ports
	Ask        []string `toml:"ask"`        // operators' ports of instances that no daemon keeps
	OldMS      float64  `toml:"old_ms"`
	Cores      float64  `toml:"worker_cores"`
	PerS       float64  `toml:"worker_per_s"`
	WayMS      float64  `toml:"way_ms"`
	Tries      int      `toml:"tries"`
	BackMS     float64  `toml:"back_ms"`
	TakeoverMS float64  `toml:"takeover_ms"`
	Elsewhere  bool     `toml:"elsewhere"`
	Slow       float64  `toml:"slow"`
}

func usualLooks() Looks {
	u := forecast.Usual
	return Looks{EachMS: 1000, OldMS: u.MostAge, Tries: u.Tries, Elsewhere: u.Elsewhere, Slow: u.Slow}
}

// Rules are the projection's.
func (l *Looks) rules() forecast.Rules {
	return forecast.Rules{MostAge: l.OldMS, Cores: l.Cores, PerS: l.PerS, Way: l.WayMS, Tries: l.Tries,
		Back: l.BackMS, Takeover: l.TakeoverMS, Elsewhere: l.Elsewhere, Slow: l.Slow}
}

// looks checks what a file says of looking ahead.
func (f *File) looks(fl *Fleet) error {
	l := &f.Outlook
	rules := l.rules()
	switch err := rules.Check(); {
	case err != nil:
		return fmt.Errorf("outlook.%w", err)
	case !(l.EachMS >= 100):
		return fmt.Errorf("outlook.each_ms: %v is under 100", l.EachMS)
	case len(l.Neighbours)+len(l.Ask) > mostNeighbours:
		return fmt.Errorf("outlook.neighbours, outlook.ask: %d, over %d", len(l.Neighbours)+len(l.Ask),
			mostNeighbours)
	case f.Hall == "" && len(l.Neighbours)+len(l.Ask) > 0:
		return errors.New("hall: there is none, and without it nothing is looked at ahead")
	case len(f.Hall) > 128 || strings.ContainsAny(f.Hall, "\r\n\x00"):
		return fmt.Errorf("hall: %q is too long, or has a control character", f.Hall)
	}
	for i, at := range l.Neighbours {
		if _, err := netip.ParseAddrPort(at); err != nil {
			return fmt.Errorf("outlook.neighbours[%d]: %w", i, err)
		}
	}
	for i, at := range l.Ask {
		if _, err := netip.ParseAddrPort(at); err != nil {
			return fmt.Errorf("outlook.ask[%d]: %w", i, err)
		}
	}
	fl.Hall, fl.Looks = f.Hall, *l
	return nil
}

// heard is a word as it was heard.
type heard struct {
	word *forecast.Word
	raw  json.RawMessage
	at   time.Time
	own  bool // of an instance that this daemon asks itself
}

// told is what a daemon tells another: the words of the instances that it asks itself, no hearsay.
type told struct {
	Form  int               `json:"Form"`
	Host  string            `json:"Host"`
	Words []json.RawMessage `json:"Words"`
	Ages  []float64         `json:"Ages"` // ms since each was last heard
}

// watcher gathers words and answers from them. Nothing that serves clients waits for it.
type watcher struct {
	log    zerolog.Logger
	host   string
	client http.Client
	stop   context.CancelFunc
	ctx    context.Context

	mu      sync.Mutex
	looks   Looks
	all     map[string]heard // by group and number
	refused map[string]int   // by reason
	silent  int              // sources that did not answer in the last round
	said    map[string]time.Time

	reckons  sync.Mutex // of the words that the last answer rests on, and that answer
	of       string
	answered *forecast.Outlook
}

func (d *Daemon) watches() *watcher {
	w := &watcher{log: d.log, host: d.fleet.Name, looks: d.fleet.Looks, all: map[string]heard{},
		refused: map[string]int{}, said: map[string]time.Time{},
		client: http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	w.ctx, w.stop = context.WithCancel(context.Background())
	return w
}

// loop asks around until the daemon has ended.
func (w *watcher) loop(d *Daemon) {
	go func() {
		<-d.stopped
		w.stop()
	}()
	for w.ctx.Err() == nil {
		d.mu.Lock()
		own := map[string]string{} // operators' port: the instance that is there
		for _, r := range d.runs {
			if r.ready {
				own[r.Control] = r.Instance
			}
		}
		looks := d.fleet.Looks
		d.mu.Unlock()
		w.round(looks, own)
		select {
		case <-w.ctx.Done():
		case <-time.After(time.Duration(looks.EachMS * float64(time.Millisecond))):
		}
	}
}

// round asks every source once, a few at a time.
func (w *watcher) round(looks Looks, own map[string]string) {
	w.mu.Lock()
	w.looks = looks
	w.mu.Unlock()
	silent := 0
	var all sync.WaitGroup
	var mu sync.Mutex
	turns := make(chan struct{}, askedAtOnce)
	ask := func(source string, f func() error) {
		all.Add(1)
		turns <- struct{}{}
		go func() {
			defer all.Done()
			defer func() { <-turns }()
			if err := f(); err != nil {
				mu.Lock()
				silent++
				mu.Unlock()
				w.complain(source, "no word", err)
			}
		}()
	}
	for at, name := range own {
		ask(at, func() error { return w.askInstance(at, name) })
	}
	for _, at := range looks.Ask {
		ask(at, func() error { return w.askInstance(at, "") })
	}
	for _, at := range looks.Neighbours {
		ask(at, func() error { return w.askNeighbour(at) })
	}
	all.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
	for id, h := range w.all {
		if time.Since(h.at) > forgets {
			delete(w.all, id)
		}
	}
}

// get reads an answer of at most so many bytes.
func (w *watcher) get(url string, within time.Duration, most int) ([]byte, error) {
	ctx, done := context.WithTimeout(w.ctx, within)
	defer done()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	res, err := w.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", res.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, int64(most)+1))
	if err == nil && len(b) > most {
		w.refuse(url, "too_long", fmt.Errorf("over %d bytes", most))
		return nil, errors.New("too long")
	}
	return b, err
}

// askInstance asks one instance for its word. Where its name is known it has to be that one's.
func (w *watcher) askInstance(at, name string) error {
	raw, err := w.get("http://"+at+admin.WordPath, wordWithin, forecast.LongestWord)
	if err == nil {
		w.hear(at, raw, 0, true, func(x *forecast.Word) error {
			if name != "" && (x.Name != name || x.Host != w.host) {
				return fmt.Errorf("it is said by %s of %s, not by %s", x.Name, x.Host, name)
			}
			return nil
		})
	}
	return err
}

// askNeighbour asks another daemon for the words of its instances.
func (w *watcher) askNeighbour(at string) error {
	raw, err := w.get("http://"+at+"/fleet/words", wordsWithin, forecast.LongestWords)
	if err != nil {
		return err
	}
	var t told
	if err := json.Unmarshal(raw, &t); err != nil {
		w.refuse(at, "spoilt", err)
		return nil
	}
	if t.Form != wordsForm {
		w.refuse(at, "version", fmt.Errorf("form %d of words, not %d", t.Form, wordsForm))
		return nil
	}
	if len(t.Ages) != len(t.Words) {
		w.refuse(at, "spoilt", fmt.Errorf("%d ages for %d words", len(t.Ages), len(t.Words)))
		return nil
	}
	for i, one := range t.Words {
		if !(t.Ages[i] >= 0 && t.Ages[i] <= float64(forgets.Milliseconds())) {
			w.refuse(at, "spoilt", fmt.Errorf("a word of an age of %v ms", t.Ages[i]))
			continue
		}
		age := time.Duration(t.Ages[i] * float64(time.Millisecond))
		w.hear(at, one, age, false, func(*forecast.Word) error { return nil })
	}
	return nil
}

// hear takes a word that was said so long ago, unless something is wrong with it.
func (w *watcher) hear(at string, raw []byte, age time.Duration, own bool, known func(*forecast.Word) error) {
	x, err := forecast.Decode(raw)
	switch {
	case errors.Is(err, forecast.ErrForm):
		w.refuse(at, "version", err)
		return
	case err != nil:
		w.refuse(at, "spoilt", err)
		return
	}
	if err := known(x); err != nil {
		w.refuse(at, "stranger", err)
		return
	}
	if ahead := x.At - time.Now().UnixMilli(); ahead > forecast.MostAhead {
		w.refuse(at, "ahead", fmt.Errorf("%s: its clock is %d ms ahead", x.Name, ahead))
		return
	}
	id, then := fmt.Sprintf("%s/%d", x.Group, x.Number), time.Now().Add(-age)
	w.mu.Lock()
	was, there := w.all[id]
	if there && (x.Name != was.word.Name || x.Host != was.word.Host) &&
		time.Since(was.at) < time.Duration(w.looks.OldMS*float64(time.Millisecond)) {
		w.mu.Unlock()
		w.refuse(at, "stranger", fmt.Errorf("%s of %s says that it is number %d of %s, and so does %s of %s",
			x.Name, x.Host, x.Number, x.Group, was.word.Name, was.word.Host))
		return
	}
	defer w.mu.Unlock()
	if !there && len(w.all) >= mostWords {
		w.refused["too_many"]++
		return
	}
	if there && !x.Newer(was.word) {
		if was.own = was.own || own; x.Life == was.word.Life && x.Seq == was.word.Seq && then.After(was.at) {
			was.at = then
		}
		w.all[id] = was
		return
	}
	w.all[id] = heard{x, bytes.Clone(raw), then, own}
}

// refuse counts and names what is not taken.
func (w *watcher) refuse(source, why string, err error) {
	w.mu.Lock()
	w.refused[why]++
	w.mu.Unlock()
	w.complain(source, why, err)
}

// complain logs a source's trouble, not too often.
func (w *watcher) complain(source, why string, err error) {
	if w.ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	id := source + why
	due := time.Since(w.said[id]) > complainEach
	if due {
		if len(w.said) > 1000 {
			clear(w.said)
		}
		w.said[id] = time.Now()
	}
	w.mu.Unlock()
	if due {
		w.log.Warn().Err(err).Str("source", source).Str("why", why).Msg("a word for the outlook was not taken")
	}
}

// words answers a neighbour.
func (w *watcher) words(out http.ResponseWriter, _ *http.Request) {
	t := told{Form: wordsForm, Host: w.host, Words: []json.RawMessage{}}
	w.mu.Lock()
	for _, h := range w.all {
		if h.own {
			t.Words = append(t.Words, h.raw)
			t.Ages = append(t.Ages, float64(time.Since(h.at).Milliseconds()))
		}
	}
	w.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(t)
}

// outlook answers operators. Where no word is new the answer is the one before.
func (w *watcher) outlook(out http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	var words []*forecast.Word
	var ids []string
	for id, h := range w.all {
		words = append(words, h.word)
		ids = append(ids, fmt.Sprintf("%s %d %d", id, h.word.Life, h.word.Seq))
	}
	rules := w.looks.rules()
	w.mu.Unlock()
	slices.Sort(ids)
	of := fmt.Sprint(ids, rules)
	w.reckons.Lock()
	if w.of != of {
		w.of, w.answered = of, forecast.Project(words, rules)
	}
	o := w.answered
	w.reckons.Unlock()
	if r.FormValue("form") == "text" {
		out.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = out.Write(forecast.AppendText(nil, o))
		return
	}
	out.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(out)
	e.SetIndent("", " ")
	_ = e.Encode(o)
}

// figures adds the watcher's own to the fleet's.
func (w *watcher) figures(b *strings.Builder) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(b, "fleet.outlook.words=%d\nfleet.outlook.silent=%d\n", len(w.all), w.silent)
	for _, why := range []string{"version", "spoilt", "stranger", "ahead", "too_long", "too_many"} {
		fmt.Fprintf(b, "fleet.outlook.refused.%s=%d\n", why, w.refused[why])
	}
}
