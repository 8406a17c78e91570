package test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"papayaquay/io/standin"

	qt "github.com/frankban/quicktest"
)

// Limits of the instances that crowds call.
const (
	crowdMemoryMB    = 512 // that an instance may take
	crowdDescriptors = 600
	crowdMessage     = 16 << 20 // bytes, the largest message
	crowdBlock       = 64 << 10 // bytes that a client writes at a time
	crowdSendTimeout = 5 * time.Second
	crowdAnswerLimit = 20 * time.Second // after which an instance counts as hung
	crowdStay        = time.Second      // for which a client waits for an answer before the checks begin
	crowdRetryPause  = 100 * time.Millisecond
)

// Paths of calls.
const (
	submitPath = "/papayaquay.v1.CallerService/Submit"
	jobPath    = "/papayaquay.v1.CallerService/SubmitJob"
)

// stoppingBody is a body of a number of bytes that stays open after them.
type stoppingBody struct {
	left int
	sent chan struct{} // closed when all of them were read
	open chan struct{} // closed when the body ends
}

// Read returns the next bytes or waits for the end.
func (b *stoppingBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		close(b.sent)
		b.left = -1
	}
	if b.left < 0 {
		<-b.open
		return 0, io.ErrUnexpectedEOF
	}
	n := min(b.left, len(p), crowdBlock)
	copy(p, bytes.Repeat([]byte("x"), n))
	b.left -= n
	return n, nil
}

// writeStopping connects a number of clients that write a head and a number of bytes and stay open.
func writeStopping(count int, head string, size int) func(address string) (leave func()) {
	return func(address string) func() {
		var conns []net.Conn
		var mu sync.Mutex
		var wait sync.WaitGroup
		for range count {
			wait.Add(1)
			go func() {
				defer wait.Done()
				conn, err := net.DialTimeout("tcp", address, crowdSendTimeout)
				if err != nil {
					return // the instance may refuse it
				}
				mu.Lock()
				conns = append(conns, conn)
				mu.Unlock()
				_ = conn.SetWriteDeadline(time.Now().Add(crowdSendTimeout))
				_, err = io.WriteString(conn, head)
				block := bytes.Repeat([]byte("x"), crowdBlock)
				for left := size; left > 0 && err == nil; left -= len(block) {
					_, err = conn.Write(block[:min(left, len(block))])
				}
				_ = conn.SetReadDeadline(time.Now().Add(crowdStay))
				_, _ = conn.Read(make([]byte, 1)) // only the first byte of an answer
			}()
		}
		wait.Wait()
		return func() {
			for _, conn := range conns {
				conn.Close()
			}
		}
	}
}

// streamStopping sends a number of messages that stop before their end, as streams of one HTTP/2
// connection.
func streamStopping(count, size int) func(address string) (leave func()) {
	return func(address string) func() {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
		open := make(chan struct{})
		var sent sync.WaitGroup
		for range count {
			body := &stoppingBody{left: size, sent: make(chan struct{}), open: open}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				r, err := http.NewRequest(http.MethodPost, "http://"+address+submitPath, body)
				if err != nil {
					return
				}
				r.Header.Set("Content-Type", "application/json")
				if response, err := client.Do(r); err == nil {
					response.Body.Close()
				}
			}()
			sent.Add(1)
			go func() {
				defer sent.Done()
				select {
				case <-body.sent:
				case <-ended:
				case <-time.After(crowdSendTimeout): // the instance may let it wait
				}
			}()
		}
		sent.Wait()
		return func() {
			close(open)
			client.CloseIdleConnections()
		}
	}
}

// compress returns a text compressed by gzip.
func compress(t *testing.T, text string) string {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, err := io.WriteString(w, text)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, w.Close(), qt.IsNil)
	return out.String()
}

// messageHead returns the head of a message with the header that tells its length, of JSON unless a content
// type is given.
func messageHead(path, framing string, contentType ...string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Type: " + append(contentType, "application/json")[0] + "\r\n" + framing + "\r\n\r\n"
}

// TestCrowdsAtServe checks that an instance outlasts crowds of callers that send large messages or
// much of nothing: it stays within its memory and descriptors and answers ordinary callers.
func TestCrowdsAtServe(t *testing.T) {
	sys := startSystem(t, systemOptions{centres: []string{"ch-west-a"}, perCentre: 1, engines: 1, descriptors: crowdDescriptors})
	p := sys.layout.Instances()[0]
	tiny := `{"job":"tiny","service":"` + service + `","total":1,"items":[` + strings.TrimSuffix(strings.Repeat(`{},`, crowdMessage/3-100), ",") + `]}`
	tinyBinary := strings.Repeat("\x2a\x00", crowdMessage/2-100) // field 5, an item without content
	tinyCompressed := compress(t, tiny)
	for row, test := range []struct {
		name string
		send func(address string) (leave func())
	}{
		{"messages without their last byte", writeStopping(60, messageHead(submitPath, "Content-Length: "+strconv.Itoa(crowdMessage)), crowdMessage-1)},
		{"a chunk without its end", writeStopping(60, messageHead(submitPath, "Transfer-Encoding: chunked")+fmt.Sprintf("%x\r\n", crowdMessage), crowdMessage-1)},
		{"streams of one connection", streamStopping(60, crowdMessage-1)},
		{"messages of tiny values", writeStopping(8, messageHead(jobPath, "Content-Length: "+strconv.Itoa(len(tiny)))+tiny, 0)},
		{"binary messages of tiny values", writeStopping(4, messageHead(jobPath, "Content-Length: "+strconv.Itoa(len(tinyBinary)), "application/proto")+tinyBinary, 0)},
		{"compressed messages of tiny values", writeStopping(4, messageHead(jobPath, "Content-Encoding: gzip\r\nContent-Length: "+strconv.Itoa(len(tinyCompressed)), "application/json")+tinyCompressed, 0)},
		{"one byte of a hundred", writeStopping(1000, messageHead(submitPath, "Content-Length: 100"), 1)},
		{"connections that send nothing", writeStopping(1000, "", 0)},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", sys.processes[p.Name].Process.Pid), []byte("5"), 0), qt.IsNil)
			leave := test.send(p.HTTPAddress)
			for _, moment := range []string{"beside", "after"} {
				if !sys.answersSoon(fmt.Sprint("crowd-", row, moment)) {
					t.Errorf("no ordinary request was answered %s the crowd", moment)
				}
				sys.checkHolds(t, p)
				leave()
				leave = func() {}
			}
		})
	}
}

// answersSoon reports whether an ordinary request is answered, if need be when it is repeated.
func (sys *system) answersSoon(key string) bool {
	client := &http.Client{Timeout: crowdAnswerLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	p := sys.layout.Instances()[0]
	call := func(method, body string) (string, bool) {
		r, err := client.Post(p.URL()+"/papayaquay.v1.CallerService/"+method, "application/json", strings.NewReader(body))
		if err != nil {
			return "", false
		}
		defer r.Body.Close()
		text, err := io.ReadAll(r.Body)
		return string(text), err == nil && r.StatusCode == http.StatusOK
	}
	for end := time.Now().Add(crowdAnswerLimit); time.Now().Before(end); time.Sleep(crowdRetryPause) {
		_, ok := call("Submit", fmt.Sprintf(`{"key":%q,"service":%q,"prompt":"oak","maxTokens":3}`, key, service))
		text, fetched := call("Fetch", fmt.Sprintf(`{"key":%q,"waitMs":1000}`, key))
		if ok && fetched && strings.Contains(text, standin.ExpectedAnswer("oak", 3)) {
			return true
		}
	}
	return false
}

// checkHolds checks that an instance lives, within its memory and descriptors.
func (sys *system) checkHolds(t *testing.T, p standin.InstanceConfig) {
	process := sys.processes[p.Name].Process
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Pid))
	qt.Assert(t, err, qt.IsNil)
	match := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	qt.Assert(t, match, qt.HasLen, 2) // without it the process has ended
	kilobytes, err := strconv.Atoi(string(match[1]))
	qt.Assert(t, err, qt.IsNil)
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.Pid))
	qt.Assert(t, err, qt.IsNil)
	t.Logf("peak %d MB, %d descriptors", kilobytes>>10, len(files))
	if kilobytes>>10 >= crowdMemoryMB {
		t.Errorf("the instance took %d MB of %d MB", kilobytes>>10, crowdMemoryMB)
	}
	if len(files) >= crowdDescriptors {
		t.Errorf("the instance took %d descriptors of %d", len(files), crowdDescriptors)
	}
}
