package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"primrosehook/configurer"
)

// Limits on one request to an instance's operator API; maxAnswerBytes is in bytes.
const (
	adminTimeout   = 30 * time.Second
	maxAnswerBytes = 64 << 20
)

// adminClient is a client of an instance's operator API.
type adminClient struct{ addr string }

func (a *adminClient) register(f *flag.FlagSet) {
	standard := "127.0.0.1:8081"
	if text := os.Getenv(configurer.VariableName("admin")); text != "" {
		standard = text
	}
	f.StringVar(&a.addr, "admin", standard,
		"operators' address of an instance, IP:port [$"+configurer.VariableName("admin")+"]")
}

// statusError is an HTTP error that an instance returned.
type statusError struct {
	status int
	code   string
	text   string
}

func (r *statusError) Error() string { return r.text }

// do sends a request and returns the response body and headers. The error is a
// *statusError if the instance answered with a status of 300 or more.
func (a *adminClient) do(ctx context.Context, method, path string, body io.Reader) ([]byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+a.addr+path, body)
	if err != nil {
		return nil, nil, eris.Errorf("-admin: %q is not allowed; want IP:port", a.addr)
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, nil, eris.Errorf("instance at %s was not reached: %v", a.addr, err)
	}
	defer func() { _ = p.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(p.Body, maxAnswerBytes))
	if err != nil {
		return nil, nil, eris.Errorf("answer of %s was cut: %v", a.addr, err)
	}
	if p.StatusCode < http.StatusMultipleChoices {
		return data, p.Header, nil
	}
	var failed struct {
		Error struct {
			Message string `json:"message"`
			Code    string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &failed) != nil || failed.Error.Message == "" {
		failed.Error.Message = strings.TrimSpace(string(data))
	}
	return nil, p.Header, &statusError{status: p.StatusCode, code: failed.Error.Code, text: failed.Error.Message}
}

// get sends a GET request and decodes the JSON response into a value.
func (a *adminClient) get(ctx context.Context, path string, into any) error {
	data, _, err := a.do(ctx, http.MethodGet, path, http.NoBody)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return eris.Wrapf(err, "answer of %s", a.addr)
	}
	return nil
}

// printJSON prints a value as indented JSON.
func printJSON(out io.Writer, value any) {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	if err := e.Encode(value); err != nil {
		_, _ = fmt.Fprintln(out, err)
	}
}
