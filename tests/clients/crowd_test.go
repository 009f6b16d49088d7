package clients_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	dialTimeout = 5 * time.Second
	// sendTimeout ends the sending of a client from which the process does not read.
	sendTimeout        = 10 * time.Second
	descriptorInterval = 5 * time.Millisecond
	bodyBytes          = 262_144
	heartbeatBytes     = 65_536
	// headerBytes is below the limit of 1 MB that package net/http has for the headers of a request.
	headerBytes = 900_000
	// frameBytes is below the limit of 8 MiB for a frame between processes.
	frameBytes   = 4 << 20
	pieceBytes   = 4096
	largeChunk   = 32 << 10
	longNameSize = 60_000
	// pipelined is the number of requests that a client sends without reading the responses.
	pipelined = 100
)

type (
	// sender sends the requests of one client. An error only shows that the process has closed the connection or reads nothing.
	sender func(w io.Writer, number int) error

	// crowd is a number of clients with one connection each, which they keep open and do not read from.
	crowd struct {
		address string
		send    sender

		mutex sync.Mutex
		conns []net.Conn
	}

	// usage is the highest use of memory and descriptors of a process so far.
	usage struct{ megabytes, descriptors int }
)

// connect connects all clients at the same time and returns when they have sent everything that the process reads.
func (c *crowd) connect(count int) {
	var group sync.WaitGroup
	for n := range count {
		group.Go(func() {
			conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
			if err != nil {
				return
			}
			c.mutex.Lock()
			c.conns = append(c.conns, conn)
			c.mutex.Unlock()
			_ = conn.(*net.TCPConn).SetReadBuffer(pieceBytes)
			_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
			_ = c.send(conn, n)
		})
	}
	group.Wait()
}

func (c *crowd) disconnect() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// watchUsage returns a function that ends the observation of a process and returns its highest use.
func watchUsage(pid int) func() (usage, error) {
	stop, stopped := make(chan struct{}), make(chan struct{})
	var highest usage
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(descriptorInterval)
		defer ticker.Stop()
		for {
			if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
				highest.descriptors = max(highest.descriptors, len(entries))
			}
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
		}
	}()
	return func() (usage, error) {
		close(stop)
		<-stopped
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			return highest, err
		}
		for line := range strings.Lines(string(status)) {
			if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
				kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
				highest.megabytes = kilobytes / 1024
				return highest, err
			}
		}
		return highest, fmt.Errorf("no VmHWM in the status of process %d", pid)
	}
}

// head returns the request line and the usual headers, without the end of the headers.
func head(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: jobs.example\r\nDeadline-Ms: 3000\r\n"
}

// jobPath returns the path of a job whose ID contains the number.
func jobPath(number int) string { return fmt.Sprintf("/batch/%016x", 0xc0000+number) }

// heartbeatPath returns the path of the heartbeats of an endpoint.
func heartbeatPath(int) string { return "/v1/instances/i-0/heartbeat" }

// readyPath returns the path of the readiness checks.
func readyPath(int) string { return "/v1/readyz" }

// metricsPath returns the path of the metrics.
func metricsPath(int) string { return "/" }

// countPath returns the path of the number of queued jobs.
func countPath(int) string { return "/batch/" }

// endlessHeaders sends header lines and stops before their end.
func endlessHeaders(path func(int) string, line func(n int) string) sender {
	return func(w io.Writer, number int) error {
		var b bytes.Buffer
		b.WriteString(head("GET", path(number)))
		for n := 0; b.Len() < headerBytes; n++ {
			b.WriteString(line(n))
		}
		_, err := w.Write(b.Bytes()[:headerBytes])
		return err
	}
}

func shortLine(n int) string { return fmt.Sprintf("%x:\r\n", n) }

func valueOfOneName(int) string { return "a:b\r\n" }

func longName(n int) string { return strings.Repeat("n", longNameSize) + strconv.Itoa(n) + ": v\r\n" }

func longLine(int) string { return "Long: " + strings.Repeat("v", headerBytes) }

// partialBody returns the beginning of a submission or heartbeat.
func partialBody(size int) []byte {
	const begin = `{"Spec":"`
	return append([]byte(begin), bytes.Repeat([]byte("x"), size-len(begin))...)
}

// stoppingBody sends a body in pieces that stops one byte before its end.
func stoppingBody(path func(int) string, size, piece int) sender {
	body := partialBody(size - 1)
	return func(w io.Writer, number int) error {
		if _, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", head("POST", path(number)), size); err != nil {
			return err
		}
		for begin := 0; begin < len(body); begin += piece {
			if _, err := w.Write(body[begin:min(begin+piece, len(body))]); err != nil {
				return err
			}
		}
		return nil
	}
}

// stoppingChunks sends a chunked body that stops before its last chunk.
func stoppingChunks(path func(int) string, size, chunk int) sender {
	var b bytes.Buffer
	body := partialBody(size - 1)
	for begin := 0; begin < len(body); begin += chunk {
		part := body[begin:min(begin+chunk, len(body))]
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
	}
	return func(w io.Writer, number int) error {
		if _, err := fmt.Fprintf(w, "%sTransfer-Encoding: chunked\r\n\r\n", head("POST", path(number))); err != nil {
			return err
		}
		_, err := w.Write(b.Bytes())
		return err
	}
}

// wholeBodyOfSteps sends a whole submission with as many steps as fit in it, far more than a job may have.
func wholeBodyOfSteps(path func(int) string) sender {
	const begin, step, end = `{"Steps":[`, `{},`, `{}]}`
	body := begin + strings.Repeat(step, (bodyBytes-len(begin)-len(end))/len(step)) + end
	return func(w io.Writer, number int) error {
		_, err := fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", head("POST", path(number)), len(body), body)
		return err
	}
}

// unreadResponses sends many requests without reading the responses.
func unreadResponses(path func(int) string) sender {
	return func(w io.Writer, number int) error {
		_, err := io.WriteString(w, strings.Repeat(head("GET", path(number))+"\r\n", pipelined))
		return err
	}
}

// idle sends one whole request and nothing more.
func idle(path func(int) string) sender {
	return func(w io.Writer, number int) error {
		_, err := io.WriteString(w, head("GET", path(number))+"\r\n")
		return err
	}
}

// frame returns a frame between processes that announces size bytes after the length, with a header and the beginning of its body.
func frame(size, sent int) []byte {
	const header = `{"seq":1,"method":"none"}`
	b := binary.BigEndian.AppendUint32(nil, uint32(size))
	b = binary.BigEndian.AppendUint16(b, uint16(len(header)))
	b = append(b, header...)
	return append(b, bytes.Repeat([]byte("1"), sent-len(header)-2)...)
}

// stoppingFrame sends a frame in pieces that stops one byte before its end.
func stoppingFrame(size, piece int) sender {
	content := frame(size, size-1)
	return func(w io.Writer, _ int) error {
		for begin := 0; begin < len(content); begin += piece {
			if _, err := w.Write(content[begin:min(begin+piece, len(content))]); err != nil {
				return err
			}
		}
		return nil
	}
}

// unreadCalls sends many calls of an unknown method without reading the responses.
func unreadCalls(w io.Writer, _ int) error {
	const size = 64
	_, err := w.Write(bytes.Repeat(frame(size, size), pipelined))
	return err
}

// silent sends nothing.
func silent(io.Writer, int) error { return nil }
