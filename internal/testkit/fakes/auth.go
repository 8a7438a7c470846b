package fakes

import (
	"net/http"
	"time"

	"willowdeck/internal/testkit/ports"
)

// AuthRequest is an authorization request that Auth received; For is its X-Forwarded-For.
type AuthRequest struct {
	Credential, Method, Target, For string
	At                              time.Time
}

// Auth is an authorization service on loopback. Its methods may be called concurrently.
type Auth struct {
	Addr string // host:port

	behavior
	server      *http.Server
	releasePort func()
	authorize   func(credential string) (status int, headers map[string]string)
	received    []AuthRequest
}

// NewAuth starts an authorization service with a service time. It authorizes every request that carries a
// credential, until SetAuthorizer changes that.
func NewAuth(serviceTime time.Duration) (*Auth, error) {
	l, releasePort, err := ports.Open()
	if err != nil {
		return nil, err
	}
	a := &Auth{Addr: l.Addr().String(), releasePort: releasePort,
		behavior: behavior{serviceTime: serviceTime, faultEnded: make(chan struct{})}}
	a.SetAuthorizer(func(credential string) (int, map[string]string) {
		if credential == "" {
			return http.StatusUnauthorized, map[string]string{"WWW-Authenticate": "Bearer"}
		}
		return http.StatusOK, nil
	})
	a.server = &http.Server{Handler: a}
	go func() { _ = a.server.Serve(l) }()
	return a, nil
}

// Close ends the service at once: its connections break and its port is released.
func (a *Auth) Close() {
	_ = a.server.Close()
	a.releasePort()
}

// SetAuthorizer sets how the service answers a credential, which is empty where the request carries none.
func (a *Auth) SetAuthorizer(authorize func(credential string) (status int, headers map[string]string)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.authorize = authorize
}

// Received returns a copy of what was received, in the order of arrival.
func (a *Auth) Received() []AuthRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]AuthRequest(nil), a.received...)
}

// ServeHTTP answers one authorization request.
func (a *Auth) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	credential := r.Header.Get("Authorization")
	a.mu.Lock()
	fault, faultEnded, serviceTime, authorize := a.fault, a.faultEnded, a.serviceTime, a.authorize
	a.received = append(a.received, AuthRequest{credential, r.Header.Get("X-Forwarded-Method"),
		r.Header.Get("X-Forwarded-Uri"), r.Header.Get("X-Forwarded-For"), time.Now()})
	a.mu.Unlock()
	if !injectFault(fault, faultEnded, serviceTime, out, r) {
		return
	}
	status, headers := authorize(credential)
	for name, value := range headers {
		out.Header().Set(name, value)
	}
	out.WriteHeader(status)
}
