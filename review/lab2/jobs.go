package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Parameters of the check of a batch job.
const (
	jobItems    = 4
	itemTokens  = 100
	jobTries    = 20
	jobInterval = 200 * time.Millisecond // between two tries or reads
	jobDeadline = 4 * time.Second
	finishTime  = 18 * time.Second // finish_s
	calmTime    = 5 * time.Second  // at its end, in which the workers must be under half full
	probeCount  = 40               // online requests before the job
)

// errNotAccepted says that no entry accepted the job.
var errNotAccepted = errors.New("the job was not accepted")

// checkService sends some online requests, and then a batch job without any other traffic. It
// reports whether an item of the job is not listed in time although the workers are idle.
func (c *cluster) checkService() (broken bool, err error) {
	served := 0
	for n := range probeCount {
		if c.request(n, "probe", "aa:100").complete {
			served++
		}
	}
	c.record.say("%d of %d online requests served", served, probeCount)
	id := newID("job")
	if err := c.submit(id, jobItems); err != nil {
		return false, err
	}
	slots, busiest, listed := 0, 0, 0
	for _, w := range c.workers {
		slots += w.slots
	}
	for end := time.Now().Add(finishTime); time.Now().Before(end) && listed < jobItems; time.Sleep(jobInterval) {
		listed = max(listed, c.listed(id))
		if time.Until(end) > calmTime {
			continue
		}
		busy := 0
		for _, w := range c.workers {
			busy += w.busy()
		}
		busiest = max(busiest, busy)
	}
	c.record.say("%d of %d items listed %v after the job was accepted; in the last %v at most %d of %d slots of the workers were taken",
		listed, jobItems, finishTime, calmTime, busiest, slots)
	return listed < jobItems && 2*busiest < slots, nil
}

// submit sends a job with a number of items until an entry accepts it.
func (c *cluster) submit(id string, items int) error {
	var requests []map[string]any
	for n := range items {
		requests = append(requests, map[string]any{"id": fmt.Sprintf("%s-%d", id, n), "path": batchPath + "x", "headers": map[string]string{},
			"body": base64.StdEncoding.EncodeToString([]byte("item")), "tokens": itemTokens})
	}
	body, err := json.Marshal(map[string]any{"requests": requests})
	if err != nil {
		return err
	}
	entries := c.role("entry")
	for n := range jobTries {
		status, _, err := c.call(entries[n%len(entries)], http.MethodPost, batchPath+id, id, body)
		c.record.add("client: job %s got %d %v", id, status, err)
		if status == http.StatusAccepted {
			return nil
		}
		time.Sleep(jobInterval)
	}
	return errNotAccepted
}

// resultPage is a page of results.
type resultPage struct {
	Next    int `json:"next"`
	Results []struct {
		ID   string `json:"id"`
		Text string `json:"text"`
	} `json:"results"`
}

// listed returns the number of listed results of a job.
func (c *cluster) listed(id string) int { return c.results(id).Next }

// results reads the results of a job from the start.
func (c *cluster) results(id string) resultPage {
	for _, entry := range c.role("entry") {
		status, data, err := c.call(entry, http.MethodGet, names["jobs"]+id+"?after=0", newID("read"), nil)
		var page resultPage
		if err == nil && status == http.StatusOK && json.Unmarshal(data, &page) == nil {
			c.record.add("client: read of %s lists %d", id, page.Next)
			return page
		}
		c.record.add("client: read of %s got %d %v", id, status, err)
	}
	return resultPage{}
}

// call makes a call about a job on a new connection.
func (c *cluster) call(entry *instance, method, path, id string, body []byte) (int, []byte, error) {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", entry.host(), callerPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Host = batchHost
	r.Header.Set(names["request_id"], id)
	r.Header.Set(names["deadline"], fmt.Sprint(jobDeadline.Milliseconds()))
	client := &http.Client{Timeout: clientWait, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}
