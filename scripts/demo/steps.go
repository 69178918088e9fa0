package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"primrosehook/faker"
	"primrosehook/launcher"
	"primrosehook/ruler"
	"primrosehook/server"
)

// Intervals and limits of the demo.
const (
	pollInterval = 50 * time.Millisecond
	// awaitTimeout is the timeout for a condition to become true.
	awaitTimeout = 90 * time.Second
	// maxPrintedBytes is the maximum length of a printed answer in bytes.
	maxPrintedBytes = 70
)

// call sends a request and returns the status, the header and the whole body.
func (s *show) call(ctx context.Context, method, url, body string, header map[string]string) (int, http.Header, []byte, error) {
	q, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	q.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		q.Header.Set(name, value)
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = p.Body.Close() }()
	data, err := io.ReadAll(p.Body)
	return p.StatusCode, p.Header, data, err
}

// await repeats a step until it succeeds, and returns how long that took.
func (s *show) await(ctx context.Context, step func() error) (time.Duration, error) {
	limit, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	begin := s.clock.Now()
	for {
		err := step()
		if err == nil {
			return s.clock.Since(begin), nil
		}
		select {
		case <-limit.Done():
			return 0, fmt.Errorf("still failing after %v: %w", s.clock.Since(begin).Round(time.Second), err)
		case <-s.clock.After(pollInterval):
		}
	}
}

// publish publishes a rule list through the first instance and waits until it is
// in force on all instances.
func (s *show) publish(ctx context.Context, source []byte) error {
	var answer server.PublishResult
	url := fmt.Sprintf("http://%s/admin/rules?base=%d&file=%s", s.entries[0].OperatorAddr, s.version, s.rules)
	var begin time.Time
	_, err := s.await(ctx, func() error {
		begin = s.clock.Now()
		status, _, data, err := s.call(ctx, http.MethodPost, url, string(source), nil)
		if err != nil {
			return err
		}
		if status != http.StatusOK {
			return fmt.Errorf("status %d: %s", status, data)
		}
		return json.Unmarshal(data, &answer)
	})
	if err != nil {
		return fmt.Errorf("rule list was not published: %w", err)
	}
	s.version = answer.Version
	if _, err := s.await(ctx, func() error { return s.inForce(ctx) }); err != nil {
		return fmt.Errorf("rule list is not in force: %w", err)
	}
	fmt.Printf("  rule list: version %d in force on all %d instances %.3f s after it was sent\n",
		s.version, len(s.entries), s.clock.Since(begin).Seconds())
	return nil
}

func (s *show) inForce(ctx context.Context) error {
	for _, e := range s.entries {
		_, header, _, err := s.call(ctx, http.MethodGet, "http://"+e.OperatorAddr+"/admin/rules", "", nil)
		if err != nil {
			return err
		}
		if got := header.Get(server.VersionHeader); got != strconv.FormatInt(s.version, 10) {
			return fmt.Errorf("instance %s has version %q", e.OperatorAddr, got)
		}
	}
	return nil
}

// publishFirst publishes the deployment's rule list.
func (s *show) publishFirst(ctx context.Context) error {
	source, err := os.ReadFile(s.rules)
	if err != nil {
		return err
	}
	return s.publish(ctx, source)
}

// publishSecond publishes a changed rule list as the successor of the first.
func (s *show) publishSecond(ctx context.Context) error {
	source, err := os.ReadFile(s.rules)
	if err != nil {
		return err
	}
	line := []byte("name: " + strings.ToLower(s.title))
	return s.publish(ctx, bytes.Replace(source, line, append(line, "-second"...), 1))
}

func (s *show) chatBody(model, text string, stream bool) string {
	body, _ := json.Marshal(map[string]any{
		"model": model, "stream": stream, "max_tokens": 24, "user": "branch-041",
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	return string(body)
}

// showStream prints a streamed answer; it retries until the model is loaded.
func (s *show) showStream(ctx context.Context) error {
	var text string
	var parts int
	took, err := s.await(ctx, func() error {
		var err error
		text, parts, err = s.streamOnce(ctx)
		return err
	})
	if err != nil {
		return fmt.Errorf("no streamed answer: %w", err)
	}
	fmt.Printf("  streamed answer of %s in %d events, %.1f s after the first attempt:\n    %s\n",
		s.chat, parts, took.Seconds(), cut(text))
	return nil
}

func (s *show) streamOnce(ctx context.Context) (string, int, error) {
	url := s.entries[1].URL() + "/v1/chat/completions"
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(s.chatBody(s.chat, s.prompt, true)))
	if err != nil {
		return "", 0, err
	}
	q.Header.Set("Content-Type", "application/json")
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = p.Body.Close() }()
	if p.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(p.Body)
		return "", 0, fmt.Errorf("status %d: %s", p.StatusCode, data)
	}
	return readEvents(p.Body)
}

// readEvents reads server-sent events to their end.
func readEvents(r io.Reader) (text string, parts int, err error) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, parts, nil
		}
		var event struct {
			Choices []struct {
				Delta struct{ Content string }
			}
			Error *struct{ Message string }
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return "", 0, err
		}
		if event.Error != nil {
			return "", 0, fmt.Errorf("stream failed: %s", event.Error.Message)
		}
		for _, c := range event.Choices {
			text += c.Delta.Content
			parts++
		}
	}
	return "", 0, fmt.Errorf("stream was cut: %w", lines.Err())
}

// reachAllModels sends requests to every model of the rule list until each has
// answered.
func (s *show) reachAllModels(ctx context.Context) error {
	source, err := os.ReadFile(s.rules)
	if err != nil {
		return err
	}
	list, err := ruler.Parse(s.rules, source)
	if err != nil {
		return err
	}
	left := map[string]bool{}
	for _, m := range list.Models {
		left[m.Name] = true
	}
	took, err := s.await(ctx, func() error {
		for model := range left {
			url := s.entries[0].URL() + "/v1/completions"
			body := fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":1}`, model)
			status, _, _, err := s.call(ctx, http.MethodPost, url, body, nil)
			if err == nil && status == http.StatusOK {
				delete(left, model)
			}
		}
		if len(left) > 0 {
			return fmt.Errorf("%d models have not answered", len(left))
		}
		return nil
	})
	if err != nil {
		return err
	}
	fmt.Printf("  all %d models have answered after %.1f s\n", len(list.Models), took.Seconds())
	return nil
}

// showWriteOnce sends a write through one instance, repeats it through the others
// under the same key, and checks that it ran exactly once.
func (s *show) showWriteOnce(ctx context.Context) error {
	key := "demo-" + strconv.FormatInt(s.clock.Now().UnixNano(), 36)
	for i, e := range s.entries {
		url := fmt.Sprintf("%s/services/%s%s", e.URL(), s.service, s.write)
		header := map[string]string{faker.KeyHeader: key}
		status, answer, data, err := s.call(ctx, http.MethodPost, url, s.body, header)
		if err != nil {
			return err
		}
		if status >= http.StatusMultipleChoices {
			return fmt.Errorf("write returned status %d: %s", status, data)
		}
		fmt.Printf("  POST %s on instance %d: status %d, replayed: %q\n",
			s.write, i+1, status, answer.Get(server.RepeatedHeader))
	}
	runs := 0
	for _, url := range s.services {
		var ran map[string]faker.Run
		if err := launcher.Get(ctx, url+"/ran", &ran); err != nil {
			return err
		}
		runs += ran[key].Count
	}
	fmt.Printf("  the servers of %s ran it %d time(s)\n", s.service, runs)
	if runs != 1 {
		return fmt.Errorf("write ran %d times", runs)
	}
	return nil
}

// showJob submits a job to one instance and fetches its result from another.
func (s *show) showJob(ctx context.Context) error {
	job, _ := json.Marshal(map[string]any{
		"url": "/v1/chat/completions", "body": json.RawMessage(s.chatBody(s.job, s.task, false)),
	})
	status, header, data, err := s.call(ctx, http.MethodPost, s.entries[0].URL()+"/v1/jobs", string(job), nil)
	if err != nil {
		return err
	}
	if status != http.StatusAccepted {
		return fmt.Errorf("job returned status %d: %s", status, data)
	}
	location := header.Get("Location")
	fmt.Printf("  job for %s accepted by instance 1: %s\n", s.job, location)
	var answer struct {
		Status   string
		Response struct {
			Body struct {
				Choices []struct {
					Message struct{ Content string }
				}
			}
		}
	}
	took, err := s.await(ctx, func() error {
		status, _, data, err := s.call(ctx, http.MethodGet, s.entries[2].URL()+location, "", nil)
		if err != nil {
			return err
		}
		if status != http.StatusOK {
			return fmt.Errorf("status %d: %s", status, data)
		}
		if err := json.Unmarshal(data, &answer); err != nil {
			return err
		}
		if answer.Status != server.JobDone || len(answer.Response.Body.Choices) == 0 {
			return fmt.Errorf("job is %s: %s", answer.Status, data)
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("job is not done: %w", err)
	}
	fmt.Printf("  fetched from instance 3 after %.1f s:\n    %s\n",
		took.Seconds(), cut(answer.Response.Body.Choices[0].Message.Content))
	return nil
}

// checkMemory fails if the engines have recorded any overcommitted memory.
func (s *show) checkMemory(ctx context.Context) error {
	count := 0
	for _, url := range s.engines {
		var seen []faker.Violation
		if err := launcher.Get(ctx, url+"/violations", &seen); err != nil {
			return err
		}
		count += len(seen)
	}
	fmt.Printf("  overcommitted memory on the %d engines: %d time(s)\n", len(s.engines), count)
	if count > 0 {
		return fmt.Errorf("engine memory was overcommitted %d times", count)
	}
	return nil
}

func cut(text string) string {
	text = strings.TrimSpace(text)
	if len(text) <= maxPrintedBytes {
		return text
	}
	return text[:maxPrintedBytes] + "..."
}
