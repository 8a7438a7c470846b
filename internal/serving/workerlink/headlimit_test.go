package workerlink

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"
)

// endlessBytes is what a worker in trouble sends at most: so much that an edge which kept it would be killed.
const endlessBytes = 16 << 20

// reserveAny is memory without a limit.
func reserveAny(int64) bool { return true }

// sendEndlessly sends a begin and then a text over and over. It returns how much was taken until the
// connection ended.
func sendEndlessly(connection net.Conn, begin, text string) int {
	sent, err := io.WriteString(connection, begin)
	part := strings.Repeat(text, 1+(32<<10)/len(text))
	for err == nil && sent < endlessBytes {
		var n int
		n, err = io.WriteString(connection, part)
		sent += n
	}
	return sent
}

// TestEndlessHead has a worker send a head without an end. It was kept in memory until the request's
// deadline, which took the edge over its limit. The exchange fails after maxHeadBytes, well before the
// deadline.
func TestEndlessHead(t *testing.T) {
	const kernelBuffers = 8 << 20 // of both ends, on loopback
	for name, parts := range map[string][2]string{
		"no line feed":              {"", "0123456789abcdef"},
		"a status line without end": {"HTTP/1.1 200 ", "OK"},
		"a header line without end": {"HTTP/1.1 200 OK\r\nX: ", "y"},
		"header lines without end":  {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"after an interim response": {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n", "X: y\r\n"},
	} {
		taken := make(chan int, 1)
		address := startWorker(t, func(connection net.Conn, reader *bufio.Reader) {
			readRequest(reader)
			taken <- sendEndlessly(connection, parts[0], parts[1])
		})
		begun := time.Now()
		_, err := exchange(NewPool(), address, "q-1")
		if !errors.Is(err, ErrOutcomeUnknown) || time.Since(begun) >= testTimeout {
			t.Errorf("%s: error %v after %v", name, err, time.Since(begun))
		}
		if bytes := <-taken; bytes > kernelBuffers {
			t.Errorf("%s: %d bytes were taken", name, bytes)
		}
	}
}

// TestEndlessTrailer has a worker send chunk extensions and trailers without an end behind a body.
func TestEndlessTrailer(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\nRequest-Id: q-1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, parts := range map[string][2]string{
		"a chunk line without end":      {begin, "1"},
		"a trailer line without end":    {begin + "0\r\nX: ", "y"},
		"trailer lines without end":     {begin + "0\r\n", "X: y\r\n"},
		"a chunk extension without end": {begin + "1;", "x"},
	} {
		address := startWorker(t, func(connection net.Conn, reader *bufio.Reader) {
			readRequest(reader)
			sendEndlessly(connection, parts[0], parts[1])
		})
		begun := time.Now()
		response, err := exchangeAndRead(address)
		if err == nil || time.Since(begun) >= testTimeout {
			t.Errorf("%s: response %v without an error, after %v", name, response, time.Since(begun))
		}
	}
}

// exchangeAndRead sends a request and reads the response with its body.
func exchangeAndRead(address string) (*http.Response, error) {
	connection, err := NewPool().Get(context.Background(), address, testTimeout)
	if err != nil {
		return nil, err
	}
	defer connection.Close()
	if err := connection.Send(requestWith("q-1", "body"), time.Now().Add(testTimeout)); err != nil {
		return nil, err
	}
	response, err := connection.Receive(http.MethodPost, "q-1", reserveAny)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// TestLongHeadIsRead reads heads below the limit, also with a long body behind them, and on a connection that
// has carried others.
func TestLongHeadIsRead(t *testing.T) {
	line := "X: " + strings.Repeat("y", maxHeadBytes-(1<<10))
	address := startWorker(t, func(connection net.Conn, reader *bufio.Reader) {
		for id := readRequest(reader); id != ""; id = readRequest(reader) {
			respond(connection, id, 200, line)
		}
	})
	pool := NewPool()
	for range 3 {
		if response, err := exchange(pool, address, "q-1"); err != nil || response.StatusCode != 200 {
			t.Errorf("response %v, error %v", response, err)
		}
	}
}

// TestLongHeadNeedsMemory has no memory left: a short head is read, a long one ends the exchange.
func TestLongHeadNeedsMemory(t *testing.T) {
	for headBytes, want := range map[int]bool{100: true, maxHeadBytes / 2: false} {
		address := startWorker(t, func(connection net.Conn, reader *bufio.Reader) {
			respond(connection, readRequest(reader), 200, "X: "+strings.Repeat("y", headBytes))
		})
		connection, err := NewPool().Get(context.Background(), address, testTimeout)
		if err != nil {
			t.Fatal(err)
		}
		if err := connection.Send(requestWith("q-1", "body"), time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
		_, err = connection.Receive(http.MethodPost, "q-1", func(int64) bool { return false })
		if (err == nil) != want {
			t.Errorf("a head of %d bytes: error %v", headBytes, err)
		}
		connection.Close()
	}
}

// TestSlowHeadIsReservedByItsBytes has a worker send a head byte by byte: as much memory is reserved as the
// head takes, however many reads it came in.
func TestSlowHeadIsReservedByItsBytes(t *testing.T) {
	const headBytes = 2 * unreservedHeadBytes
	reserved := int64(0)
	limiter := &headLimiter{source: iotest.OneByteReader(strings.NewReader(strings.Repeat("y", headBytes)))}
	limiter.begin(func(bytes int64) bool {
		reserved += bytes
		return true
	})
	if _, err := io.ReadAll(limiter); err != nil {
		t.Fatal(err)
	}
	if want := int64(headBytes-unreservedHeadBytes) * headMemoryFactor; reserved != want {
		t.Errorf("%d bytes are reserved for %d of a head, want %d", reserved, headBytes, want)
	}
}
