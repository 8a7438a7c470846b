package edge

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"willowdeck/internal/serving/execution"
)

// Bounds of the lines about single requests, for each kind of line.
const (
	requestLogInterval = time.Second
	requestLogFirst    = 5   // lines in an interval that are all logged
	requestLogEvery    = 100 // of the further lines in an interval, one of so many is logged
)

// newRequestLogger returns a logger for lines about single requests, most of which it drops where there are
// many.
func newRequestLogger(logger *zap.Logger) *zap.Logger {
	return logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, requestLogInterval, requestLogFirst, requestLogEvery)
	}))
}

// logOwnResponse logs that a request which was sent to a worker gets a response of the edge's own, and by
// what evidence.
func (p *proxiedRequest) logOwnResponse(status int) {
	if !p.execution.Sent() {
		return
	}
	message := "request failed after it was sent to workers"
	if execution.IsPromise(status) {
		message = "request refused after workers rejected it"
	}
	p.logRequest(message, status)
}

// logRequest logs the end of a request with its attempts.
func (p *proxiedRequest) logRequest(message string, status int) {
	p.edge.requestLogger.Info(message,
		zap.String("request", p.id), zap.Int("status", status), zap.String("path_prefix", p.route.PathPrefix),
		zap.Array("attempts", attemptList(p.execution.Attempts())))
}

// attemptList writes attempts to a log.
type attemptList []execution.Attempt

// MarshalLogArray appends the attempts to an encoder.
func (l attemptList) MarshalLogArray(encoder zapcore.ArrayEncoder) error {
	for i := range l {
		if err := encoder.AppendObject((*loggedAttempt)(&l[i])); err != nil {
			return err
		}
	}
	return nil
}

// loggedAttempt writes an attempt to a log.
type loggedAttempt execution.Attempt

// MarshalLogObject adds the attempt's fields to an encoder.
func (a *loggedAttempt) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("instance", a.Instance)
	encoder.AddString("address", a.Address)
	encoder.AddInt("connection_requests", a.ConnectionRequests)
	encoder.AddString("outcome", a.Outcome.String())
	encoder.AddInt("status", a.Status)
	return nil
}
