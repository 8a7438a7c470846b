package lifecycle

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"willowdeck/internal/forwardauth/authorizer"
	"willowdeck/internal/forwardauth/authserver"
	"willowdeck/internal/gateway/admin"
	"willowdeck/internal/gateway/config"
	"willowdeck/internal/gateway/hotrestart"
	"willowdeck/internal/gateway/proxy"
	"willowdeck/internal/gateway/recovery/bootstrap"
	"willowdeck/internal/gateway/recovery/checkpoint"
	"willowdeck/internal/gateway/transport"
	"willowdeck/internal/policy"
	"willowdeck/internal/testkit/history"
	"willowdeck/internal/txnjournal/store"
)

// Gateway is a running gateway process. Fields without a note on their use are set by Start and read only.
type Gateway struct {
	Address string         // at which clients connect
	config  config.Gateway // as read at the start; a reload updates two of its addresses
	log     zerolog.Logger
	done    chan struct{} // closed by Stop, ends the background goroutines

	dispatcher  *proxy.Dispatcher
	proxy       *proxy.Proxy
	frontend    *transport.Frontend
	listener    *transport.LimitListener // the clients' listener, which bounds their number
	workerConns *transport.WorkerPool
	serveResult chan error // what the frontend's Serve has returned

	adminServer *admin.Server                          // nil without an admin address
	authServer  *authserver.Server                     // nil where forward authentication is not served
	authorizer  *authorizer.Authorizer                 // nil where no authorization service is asked
	history     *history.Log                           // nil where no record for tests is kept
	reporter    *loadReporter                          // nil where no load report is served
	ruleset     *rulesetClient                         // nil where the ruleset is that of the configuration
	peers       *transport.Peers                       // nil without peers
	takeover    *takeover                              // nil where no predecessor was found
	handoff     atomic.Pointer[hotrestart.Predecessor] // where a successor connects; nil until serving
	journal     atomic.Pointer[store.Journal]          // nil where non-idempotent requests are not recorded

	draining         atomic.Bool  // operators have sent clients away
	standby          atomic.Bool  // another process serves: the predecessor still, or the successor from now on
	borrowingEnabled atomic.Bool  // set once, before it is known whether borrowing can be enabled
	memberCount      atomic.Int64 // gateways that share quotas, this one included

	corruptCheckpoints   atomic.Int64                        // of an earlier incarnation, not restored
	unrestoredCheckpoint atomic.Pointer[checkpoint.Snapshot] // until it is known which ruleset is in force
	rulesetPlans         atomic.Pointer[[]policy.Plan]       // of the ruleset adopted last; nil before any

	endpointsMu         sync.Mutex // guards endpoints, and the order in which the dispatcher gets its changes
	endpoints           *bootstrap.Registry
	requestingEndpoints atomic.Bool // requestEndpoints runs

	cancelWatch      context.CancelFunc // ends the discovery watch; replaced by a reload
	watchEnded       chan int64         // gets the version that the watch has reached; replaced by a reload
	watchErrorLogged time.Time          // of the last log line about it; the watch's goroutine alone uses it
	firstWatchResult chan struct{}      // closed at the watch's first update or failure
	firstWatchOnce   sync.Once          // closes firstWatchResult
}
