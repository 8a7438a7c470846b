package whole

import "testing"

func planted(t *testing.T, e *evidence) {}
