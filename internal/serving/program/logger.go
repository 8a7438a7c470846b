package program

import "go.uber.org/zap"

// newLogger returns a logger that writes JSON lines to standard error, without sampling.
func newLogger(verbose bool) *zap.Logger {
	config := zap.NewProductionConfig()
	config.Sampling = nil
	config.DisableCaller = true
	config.DisableStacktrace = true
	if verbose {
		config.Level.SetLevel(zap.DebugLevel)
	}
	logger, err := config.Build()
	if err != nil {
		return zap.NewNop()
	}
	return logger
}
