package faultinject

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"willowdeck/internal/testkit/ports"
)

// stream takes one end's connections to another and passes them on.
type stream struct {
	net         *Net
	from, to    string
	listen      string
	there, back *way

	mu       sync.Mutex
	target   string
	listener net.Listener // nil while connections are refused
	pipes    map[*pipe]bool
	closed   bool
}

// Stream takes the connections that from makes to the address that this gives, and passes them on to target,
// a real address of the other end.
func (n *Net) Stream(from, to, target string) (listen string) {
	n.t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	s := &stream{net: n, from: from, to: to, target: target, there: n.way(from, to), back: n.way(to, from),
		listen: ports.Address(n.t), pipes: map[*pipe]bool{}}
	if err := s.open(); err != nil {
		n.t.Fatalf("stream from %s to %s: %v", from, to, err)
	}
	n.streams = append(n.streams, s)
	return s.listen
}

// Retarget changes where a stream's new connections go.
func (n *Net) Retarget(listen, target string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range n.streams {
		if s.listen == listen {
			s.mu.Lock()
			s.target = target
			s.mu.Unlock()
		}
	}
}

// applyCuts has the streams between two do what the cuts say.
func (n *Net) applyCuts(a, b string) {
	n.mu.Lock()
	var all []*stream
	for _, s := range n.streams {
		if s.from == a && s.to == b || s.from == b && s.to == a {
			all = append(all, s)
		}
	}
	n.mu.Unlock()
	for _, s := range all {
		s.applyCuts()
	}
}

// worst gives the worse of a stream's two cuts, and what is closed when one changes.
func (s *stream) worst() (Cut, <-chan struct{}, <-chan struct{}) {
	there, a := s.there.now()
	back, b := s.back.now()
	return max(there, back), a, b
}

func (s *stream) applyCuts() {
	s.mu.Lock()
	cut, _, _ := s.worst()
	var drop []*pipe
	if cut >= Reset {
		for p := range s.pipes {
			drop = append(drop, p)
		}
	}
	if l := s.listener; cut == Refused && l != nil {
		s.listener = nil
		_ = l.Close()
	}
	var err error
	if cut != Refused && s.listener == nil && !s.closed {
		// The port may be in use by an outgoing connection at first.
		for end := time.Now().Add(dialTimeout); ; time.Sleep(pollInterval) {
			if err = s.openLocked(); err == nil || time.Now().After(end) {
				break
			}
		}
	}
	s.mu.Unlock()
	if err != nil {
		s.net.t.Errorf("stream from %s to %s is not back: %v", s.from, s.to, err)
	}
	for _, p := range drop {
		p.reset()
	}
}

func (s *stream) open() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openLocked()
}

// listenAgain listens where a listener was until a moment ago. Guards against a process that another
// goroutine is just starting: between its fork and its exec it has all listeners of this one, also those
// that are closed.
func listenAgain(at string) (net.Listener, error) {
	for end := time.Now().Add(execTimeout); ; time.Sleep(execTimeout / 100) {
		l, err := net.Listen("tcp4", at)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return l, err
		}
	}
}

func (s *stream) openLocked() error {
	l, err := listenAgain(s.listen)
	if err != nil {
		return err
	}
	s.listener = l
	go s.accept(l)
	return nil
}

func (s *stream) close() {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	var all []*pipe
	for p := range s.pipes {
		all = append(all, p)
	}
	s.mu.Unlock()
	for _, p := range all {
		p.reset()
	}
}

func (s *stream) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(pollInterval) // out of files, say
			continue
		}
		p := &pipe{stream: s, near: c.(*net.TCPConn), done: make(chan struct{})}
		s.mu.Lock()
		room := len(s.pipes) < maxConnections && !s.closed
		if room {
			s.pipes[p] = true
		}
		s.mu.Unlock()
		if !room {
			p.reset()
			continue
		}
		go p.run()
	}
}

// pipe is a connection that is passed on.
type pipe struct {
	stream *stream
	near   *net.TCPConn

	mu   sync.Mutex
	far  *net.TCPConn // nil until it is up
	done chan struct{}
	gone bool
}

// reset ends both connections at once, with what is still on its way.
func (p *pipe) reset() { p.end(true) }

func (p *pipe) end(reset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gone {
		return
	}
	p.gone = true
	close(p.done)
	for _, c := range []*net.TCPConn{p.near, p.far} {
		if c != nil {
			if reset {
				_ = c.SetLinger(0)
			}
			_ = c.Close()
		}
	}
	p.stream.mu.Lock()
	delete(p.stream.pipes, p)
	p.stream.mu.Unlock()
}

// run passes a connection on once no direction is cut, until both sides have ended it.
func (p *pipe) run() {
	s := p.stream
	defer p.reset()
	for {
		cut, a, b := s.worst()
		if cut >= Reset {
			return
		}
		if cut == Connected {
			break
		}
		select {
		case <-a:
		case <-b:
		case <-p.done:
			return
		}
	}
	s.mu.Lock()
	target := s.target
	s.mu.Unlock()
	far, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		return
	}
	p.mu.Lock()
	if p.gone {
		p.mu.Unlock()
		_ = far.Close()
		return
	}
	p.far = far.(*net.TCPConn)
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(p.near, p.far, s.there) })
	both.Go(func() { p.pass(p.far, p.near, s.back) })
	both.Wait()
	p.end(false)
}

// chunk is bytes on their way; none is the end of what one side says.
type chunk struct {
	due   time.Time
	bytes []byte
}

// pass passes one direction's bytes on.
func (p *pipe) pass(from, to *net.TCPConn, w *way) {
	queue := make(chan chunk, maxChunks)
	go func() {
		defer close(queue)
		buf := make([]byte, chunkBytes)
		for {
			n, err := from.Read(buf)
			if n > 0 || errors.Is(err, io.EOF) {
				select {
				case queue <- chunk{w.due(n), append([]byte(nil), buf[:n]...)}:
				case <-p.done:
					return
				}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					p.reset()
				}
				return
			}
		}
	}()
	for c := range queue {
		if !p.wait(c.due, w) {
			return
		}
		if len(c.bytes) == 0 {
			_ = to.CloseWrite()
			return
		}
		if _, err := to.Write(c.bytes); err != nil {
			p.reset()
			return
		}
		w.mu.Lock()
		w.counts.Bytes += int64(len(c.bytes))
		w.mu.Unlock()
	}
}

// due tells when so many bytes may pass. A connection's bytes keep their order by its queue.
func (w *way) due(bytes int) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	jitter := time.Duration(w.more.Float64() * float64(w.shape.Jitter))
	return w.takes(time.Now(), bytes).Add(w.shape.Delay + jitter)
}

// wait waits until a time, and for as long as the direction is cut; it tells whether the connection is there.
func (p *pipe) wait(due time.Time, w *way) bool {
	for {
		cut, changed := w.now()
		wait := time.Until(due)
		if cut == Connected && wait <= 0 {
			return true
		}
		var at <-chan time.Time
		if cut == Connected {
			at = time.After(wait)
		}
		select {
		case <-at:
		case <-changed:
		case <-p.done:
			return false
		}
	}
}
