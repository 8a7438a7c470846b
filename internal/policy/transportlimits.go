package policy

// This file holds the limits of the gateway's sockets. Times are in ms. The limits are kept together
// because they depend on one another: what the gateway guarantees to clients, workers and operators bounds
// the time and the resources that any of them may use.

// Descriptors and memory.
const (
	// ReservedDescriptors is the number of file descriptors kept for everything except the connections of
	// clients and to workers: a dozen, and the runtime's own.
	ReservedDescriptors = 16
	// ClientConnectionFraction is the fraction of the other descriptors for clients: enough for the usual
	// connections and as many silent ones.
	ClientConnectionFraction = 0.6
	// WorkerConnectionFraction is the fraction of the other descriptors for connections to workers, busy and
	// idle.
	WorkerConnectionFraction = 0.4
	// MemoryLimitFraction is the fraction of the memory that is set as the runtime's soft limit. Files and the
	// kernel's part use the memory too.
	MemoryLimitFraction = 0.6
	// GCTargetPercent is the growth of the heap between two garbage collections. A heap of a few MB levels off
	// in seconds, at little cost.
	GCTargetPercent = 100
)

// Connections of clients.
const (
	// RequestHeadTimeoutMillis bounds the time in which a client sends a request head. Well-behaved clients
	// take up to 2 s, and an answer is due in 3 s.
	RequestHeadTimeoutMillis = 2500.0
	// BodyStallTimeoutMillis bounds a pause in the transfer of a body or of a long answer, whether its sender
	// or its receiver causes it.
	BodyStallTimeoutMillis = 2000.0
	// MinBodyBytesPerMilli is the least rate, in bytes per ms, at which a long body must arrive. Well-behaved
	// clients send 64.
	MinBodyBytesPerMilli = 16.0
	// SendBufferBytes is how much of a long body the kernel may buffer for a slow receiver: what the slowest
	// one takes in 1 s.
	SendBufferBytes = 64 << 10
	// BodyChunkBytes is how much of a long body or answer is copied at a time: a few network packets.
	BodyChunkBytes = 16 << 10
	// ClientIdleTimeoutMillis is the time without a request after which a connection is closed. It is longer
	// than the pauses of active clients.
	ClientIdleTimeoutMillis = 5000.0
	// EvictIdleClientMillis is the time without a request after which a connection may be closed to make room
	// for another client.
	EvictIdleClientMillis = 2000.0
	// EvictPartialRequestMillis is the time without a byte after which a connection that has sent a part of a
	// request may be closed to make room for another client.
	EvictPartialRequestMillis = 300.0
	// EvictNewClientMillis is the time after which a new connection that has sent nothing yet may be closed to
	// make room for another client. Usual clients send their request at once.
	EvictNewClientMillis = 100.0
	// KeepAliveClientFraction is the fraction of the clients' connection limit above which a connection is
	// closed after its first answer rather than kept alive.
	KeepAliveClientFraction = 0.4
	// MaxClientWaitMillis is the longest time that a request may state its client waits for the answer.
	MaxClientWaitMillis = 3.6e6
	// MaxDedupKeyBytes bounds the key by which repeats of a request are recognized. The keys in use have 16
	// bytes.
	MaxDedupKeyBytes = 64
	// LingerTimeoutMillis is the time for which a connection is kept open after its last answer while the
	// client still sends, so that the client can read the answer.
	LingerTimeoutMillis = 500.0
	// MaxLingerBytes bounds what is read from such a connection and dropped in that time: the bytes that are
	// in flight when the client receives the answer.
	MaxLingerBytes = 1 << 20
	// AcceptRetryMillis is the time until the next accept after one has failed.
	AcceptRetryMillis = 10.0
	// AcceptTimeoutMillis bounds the duration of an Accept for which a connection is already waiting. One that
	// takes longer has found the backlog empty.
	AcceptTimeoutMillis = 1.0
)

// Connections to workers.
const (
	// WorkerIdleFraction is the fraction of a worker's idle timeout after which an idle connection to it is
	// closed.
	WorkerIdleFraction = 0.5
	// ResponseStallTimeoutMillis bounds a pause inside a response. Complete responses of usual workers take 20
	// ms.
	ResponseStallTimeoutMillis = 100.0
	// MaxInterimResponses bounds the interim (1xx) responses before the final one.
	MaxInterimResponses = 8
)

// Limits of the watch that receives the list of workers from discovery.
const (
	// WatchHeartbeatTimeoutMillis is the silence after which a watch is ended. Discovery sends something every
	// 2 s, and one message may be late.
	WatchHeartbeatTimeoutMillis = 2800.0
	// WatchHeaderTimeoutMillis is the time for a local agent to send the head of its answer. After the silence
	// of a watch, two agents in a row that do not answer still fit into WatchCatchUpMillis.
	WatchHeaderTimeoutMillis = 1400.0
	// WatchCatchUpMillis is the time after the silence or the end of a watch within which the missed changes
	// have to be known.
	WatchCatchUpMillis = 6000.0
	// WatchFailoverCatchUpMillis is the time after a move to another discovery within which its list has to be
	// known.
	WatchFailoverCatchUpMillis = 4000.0
	// WatchResponseMillis is the time allowed for discovery's answer: up to 2 s in its queue where lists are
	// polled, the network, and 100 ms to spare.
	WatchResponseMillis = 2200.0
	// StartupListWaitMillis is how long a start waits for the list where it is pushed. The agent that pushes
	// it is local, and requests may wait that long.
	StartupListWaitMillis = 50.0
	// EndpointBatchSize is how many entries of a long list are applied at a time. At 110,000 workers requests
	// wait 1 ms for such a batch.
	EndpointBatchSize = 500
	// EndpointBatchIntervalMillis is the pause between two batches. Without it, a goroutine that waits for the
	// lock would lose it to the next batch.
	EndpointBatchIntervalMillis = 0.1
	// MaxEndpointListBytes bounds the size of a list in the watch: two and a half times that of a list of
	// 110,000 workers.
	MaxEndpointListBytes = 32 << 20
	// MaxEndpointBytes bounds one worker's entry in the list. Usual entries have 124 bytes.
	MaxEndpointBytes = 16 << 10
	// MaxWorkers bounds the entries of a list. They take 22 MB, not counting the text of their names.
	MaxWorkers = 200000
	// WatchRetryMillis is the least pause before a retry to open the watch. The first retry, and any retry
	// where lists are pushed, may come after half of it. It is short because updates must not wait for long.
	WatchRetryMillis = 100.0
	// WatchRetryJitterFraction is the random part of a pause from the second retry on. A larger part would
	// make more calls, and these keep discovery overloaded.
	WatchRetryJitterFraction = 0.1
	// WatchRetryPerGatewayMillis is added to a pause for each gateway that may call at the same time, as each
	// call takes discovery some time.
	WatchRetryPerGatewayMillis = 25.0
	// WatchMaxBackoffFactor bounds the factor on WatchRetryPerGatewayMillis, which doubles with each try that
	// fails.
	WatchMaxBackoffFactor = 8.0
)

// Limits of the admin port.
const (
	// MaxAdminConnections bounds the connections to the admin port. Silent ones are closed to make room for
	// new ones.
	MaxAdminConnections = 16
	// MaxAdminRequestBytes bounds the head and the body of a request at the admin port.
	MaxAdminRequestBytes = 4096
	// AdminTimeoutMillis bounds the time in which an admin request arrives, and the time in which its answer
	// is read. An answer is due in 1 s.
	AdminTimeoutMillis = 800.0
	// StatsRefreshMillis is the time between two copies of the engine's Stats, which may be up to 500 ms old.
	StatsRefreshMillis = 150.0
)

// Drain and stop.
const (
	// DrainAcceptMillis is the time after the start of a drain before idle connections are closed. Clients go
	// on connecting for 200 ms after the health check fails; the rest is to spare.
	DrainAcceptMillis = 300.0
	// DrainIdleMillis is the time after the start of a drain within which the last idle connection is closed.
	// A drain may take 4 s.
	DrainIdleMillis = 1500.0
	// StopAcceptMillis is the time after a stop begins in which new connections are served. Clients go on
	// connecting for 400 ms.
	StopAcceptMillis = 450.0
	// StopIdleMillis is the time after StopAcceptMillis within which all idle connections are closed. What
	// arrives more than 700 ms after a stop begins may be lost.
	StopIdleMillis = 200.0
	// StopMaxWaitMillis bounds the longest wait of clients that a stop allows for, as the platform allows for
	// no more.
	StopMaxWaitMillis = 3000.0
	// StopGraceMillis is the time after that wait at which all requests in flight are aborted. SIGKILL comes
	// 700 ms after the wait, and a check takes 100 ms.
	StopGraceMillis = 500.0
)
