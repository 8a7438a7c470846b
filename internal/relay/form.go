package relay

import "willowdeck/internal/resource"

// MostAsk and MostAnswer are the longest that are read, bytes as sent; MostTold is the most facts in a
// question.
const (
	MostAsk    = 1 << 20
	MostAnswer = 8 << 20
	MostTold   = 2000
)

// Bytes is a question as it is sent.
func (a *Ask) Bytes() ([]byte, error) { panic("soon") }

// ReadAsk reads one; the error names what is wrong.
func ReadAsk(raw []byte) (*Ask, error) { panic("soon") }

// Bytes is an answer as it is sent.
func (a *Answer) Bytes() ([]byte, error) { panic("soon") }

// ReadAnswer reads one; the error names what is wrong.
func ReadAnswer(raw []byte) (*Answer, error) { panic("soon") }

// StateBytes is a state as a disk copy has it, with a checksum; nil is an empty one.
func StateBytes(s *resource.State) ([]byte, error) { panic("soon") }

// ReadState reads one. What is torn or spoilt is an error.
func ReadState(raw []byte) (*resource.State, error) { panic("soon") }
