package policy

// The limits that the gateway's sockets go by. Times are in ms. They stand together, as each is chosen with a
// view to the others: what a client, a worker or an operator is owed bounds what each of them may take.

// Descriptors and memory.
const (
	// ReservedDescriptors are kept for all but clients and workers: a dozen, with the runtime's own.
	ReservedDescriptors = 16
	// ClientConnectionFraction of the others is for clients: usual connections beside as many silent ones.
	ClientConnectionFraction = 0.6
	// WorkerConnectionFraction of the others is for connections to workers, busy and idle.
	WorkerConnectionFraction = 0.4
	// MemoryLimitFraction of the memory is the runtime's soft limit, as files and the kernel's part count too.
	MemoryLimitFraction = 0.6
	// GCTargetPercent is the growth of the heap between collections: one of a few MB levels off in seconds, at
	// little work.
	GCTargetPercent = 100
)

// Connections of clients.
const (
	// RequestHeadTimeoutMillis bounds the time for a client to send a head: honest ones take 2 s, and an answer
	// is due in 3 s.
	RequestHeadTimeoutMillis = 2500.0
	// BodyStallTimeoutMillis bounds a pause of a body or a long answer, also one by its receiver.
	BodyStallTimeoutMillis = 2000.0
	// MinBodyBytesPerMilli is the rate that a long body has to keep; honest clients give 64.
	MinBodyBytesPerMilli = 16.0
	// SendBufferBytes of a long body may lie in the kernel for a slow receiver: 1 s of the slowest.
	SendBufferBytes = 64 << 10
	// BodyChunkBytes of a long body or answer are in hand at a time: a handful of the network's packets.
	BodyChunkBytes = 16 << 10
	// ClientIdleTimeoutMillis is the time without a request after which a connection is closed: over the pauses
	// of clients in use.
	ClientIdleTimeoutMillis = 5000.0
	// EvictIdleClientMillis is the time without a request after which it may be closed for another client.
	EvictIdleClientMillis = 2000.0
	// EvictPartialRequestMillis is the time without a byte after which so may one that has sent a part of a
	// request.
	EvictPartialRequestMillis = 300.0
	// EvictNewClientMillis is the time after which so may one that has sent no complete request yet; usual ones
	// send it at once.
	EvictNewClientMillis = 100.0
	// KeepAliveClientFraction of clients' places: above it a connection ends with its first answer.
	KeepAliveClientFraction = 0.4
	// MaxClientWaitMillis is the longest time that a client may say it waits.
	MaxClientWaitMillis = 3.6e6
	// MaxDedupKeyBytes bounds the key by which a request's repeats are known; those in use have 16.
	MaxDedupKeyBytes = 64
	// LingerTimeoutMillis is the time in which a client that still sends may read the answer that ends its
	// connection,
	LingerTimeoutMillis = 500.0
	// and MaxLingerBytes what is read from it and dropped meanwhile: what is in flight when it is told.
	MaxLingerBytes = 1 << 20
	// AcceptRetryMillis is the time until the next accept after one has failed.
	AcceptRetryMillis = 10.0
	// AcceptTimeoutMillis bounds an accept where a connection waits for it.
	AcceptTimeoutMillis = 1.0
)

// Connections to workers.
const (
	// WorkerIdleFraction of a worker's idle limit: a connection that has been idle for longer is closed.
	WorkerIdleFraction = 0.5
	// ResponseStallTimeoutMillis bounds a pause inside a response; complete ones of usual workers take 20.
	ResponseStallTimeoutMillis = 100.0
	// MaxInterimResponses bounds the interim (1xx) responses ahead of the final one.
	MaxInterimResponses = 8
)

// The watch of the list of workers at discovery.
const (
	// WatchHeartbeatTimeoutMillis is the silence that ends a watch: it sends something each 2 s, and one message
	// may be late.
	WatchHeartbeatTimeoutMillis = 2800.0
	// WatchHeaderTimeoutMillis is the time for a local agent to answer: behind a silence two silent agents fit
	// WatchCatchUpMillis.
	WatchHeaderTimeoutMillis = 1400.0
	// WatchCatchUpMillis is the time after a silence or an end within which what was missed has to be known.
	WatchCatchUpMillis = 6000.0
	// WatchFailoverCatchUpMillis is the same after a move to another discovery.
	WatchFailoverCatchUpMillis = 4000.0
	// WatchResponseMillis is the time to an answer: 2 s in turn where lists are polled, the way, and 100 spare.
	WatchResponseMillis = 2200.0
	// StartupListWaitMillis is what a start waits for the list where it is pushed: it is local, and requests may
	// wait.
	StartupListWaitMillis = 50.0
	// EndpointBatchSize is how many entries of a long list are applied in one go: at 110,000 workers requests
	// wait 1 ms for them.
	EndpointBatchSize = 500
	// EndpointBatchIntervalMillis is the time between two batches: who waits for the lock would else lose it to
	// the next one.
	EndpointBatchIntervalMillis = 0.1
	// MaxEndpointListBytes bounds a list in the watch: two and a half times that of 110,000 workers.
	MaxEndpointListBytes = 32 << 20
	// MaxEndpointBytes bounds one worker's entry; usual ones have 124.
	MaxEndpointBytes = 16 << 10
	// MaxWorkers bounds the entries of a list: 22 MB beside the texts of their names.
	MaxWorkers = 200000
	// WatchRetryMillis is the least pause of a retry to open the watch: updates must not wait for long.
	WatchRetryMillis = 100.0
	// WatchRetryJitterFraction of a later pause is random; more makes more calls, which keep discovery down.
	WatchRetryJitterFraction = 0.1
	// WatchRetryPerGatewayMillis is added for each gateway that may call at the same time: a call takes some.
	WatchRetryPerGatewayMillis = 25.0
	// WatchMaxBackoffFactor bounds the doubling of that with each try that brings nothing.
	WatchMaxBackoffFactor = 8.0
)

// The operators' port.
const (
	// MaxAdminConnections bounds operators' connections; silent ones give way.
	MaxAdminConnections = 16
	// MaxAdminRequestBytes bounds the head and body of an operator's request.
	MaxAdminRequestBytes = 4096
	// AdminTimeoutMillis bounds the time for a request to arrive, and that for its answer to be taken; it is due
	// in 1 s.
	AdminTimeoutMillis = 800.0
	// StatsRefreshMillis is the time between two copies of the policy's counts; they may be 500 ms old.
	StatsRefreshMillis = 150.0
)

// Drain and stop.
const (
	// DrainAcceptMillis is the time that connections go on arriving after the health check fails: 200 ms, and
	// spare.
	DrainAcceptMillis = 300.0
	// DrainIdleMillis is the time after which a drain has closed the last idle connection; it has 4 s.
	DrainIdleMillis = 1500.0
	// StopAcceptMillis is the time after the order to stop in which new connections are served; they arrive for
	// 400 ms.
	StopAcceptMillis = 450.0
	// StopIdleMillis is the time after that until all idle ones are closed; what arrives after 700 ms may be
	// lost.
	StopIdleMillis = 200.0
	// StopMaxWaitMillis is the most that the platform gives a stop of the longest wait of clients,
	StopMaxWaitMillis = 3000.0
	// and StopGraceMillis the time beside it until everything is abandoned: SIGKILL comes at 700 ms, a check
	// takes 100.
	StopGraceMillis = 500.0
)
