package ruleset

// Until gives the time up to which the terms last adopted may be acted on, ms; it moves on with each word
// that they are still in force. See May.
func (h *Holder) Until() float64 { return h.till }
