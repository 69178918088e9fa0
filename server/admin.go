package server

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"primrosehook/explainer"
	"primrosehook/judge"
	"primrosehook/lister"
	"primrosehook/ruler"
	"primrosehook/upgrader"
)

// VersionHeader carries the version of the rule list in force.
const VersionHeader = "Primrosehook-Rules-Version"

// maxRecent is the largest number of decisions in a list of recent ones.
const maxRecent = 100

// PublishResult is the response to a published rule list.
type PublishResult struct {
	Version  int64    `json:"version"`
	Warnings []string `json:"warnings,omitempty"`
}

// State is the state that an instance reports about itself.
type State struct {
	Instance lister.Instance `json:"instance"`
	// Build is the build that the instance runs.
	Build string `json:"build"`
	Ready bool   `json:"ready"`
	// Reasons state why the instance is not ready; empty if it is.
	Reasons []string       `json:"reasons,omitempty"`
	Leaving bool           `json:"leaving"`
	Open    int64          `json:"open"`
	Rules   RulesState     `json:"rules"`
	Parts   map[string]any `json:"parts,omitempty"`
}

// RulesState names the rule list in force.
type RulesState struct {
	Version int64  `json:"version"`
	Name    string `json:"name"`
}

// StatusResponse is the response of /admin/status.
type StatusResponse struct {
	State
	// Fleet holds the states that the other instances report, by name.
	Fleet map[string]any `json:"fleet,omitempty"`
}

// ModelExplanation states which rule applies to a model, its demand and the
// recent decisions about it.
type ModelExplanation struct {
	Model   ruler.Model          `json:"model"`
	Demand  float64              `json:"demand"`
	Copies  int                  `json:"copies"`
	Version int64                `json:"rules"`
	Rule    string               `json:"rule"`
	Ready   int                  `json:"ready"`
	Recent  []explainer.Decision `json:"recent"`
	Parts   map[string]any       `json:"parts,omitempty"`
}

// liveness responds as long as the process serves HTTP.
func (*Server) liveness(c echo.Context) error { return c.String(http.StatusOK, "alive\n") }

// readiness reports whether a load balancer should send requests to this
// instance.
func (s *Server) readiness(c echo.Context) error {
	reasons := s.notReadyReasons()
	if len(reasons) == 0 {
		return c.String(http.StatusOK, "ready\n")
	}
	text := ""
	for _, r := range reasons {
		text += r + "\n"
	}
	return c.String(http.StatusServiceUnavailable, text)
}

// notReadyReasons returns why the instance is not ready, sorted; empty if it
// is.
func (s *Server) notReadyReasons() []string {
	var reasons []string
	if s.leaving.Load() {
		reasons = append(reasons, "instance is leaving")
	}
	if _, _, err := s.ruleList(); err != nil {
		reasons = append(reasons, judge.As(err).Reason)
	}
	for name, check := range s.checks {
		if err := check(); err != nil {
			reasons = append(reasons, name+": "+err.Error())
		}
	}
	sort.Strings(reasons)
	return reasons
}

// showRules responds with the source text of the rule list in force.
func (s *Server) showRules(c echo.Context) error {
	version, list, err := s.ruleList()
	if err != nil {
		return err
	}
	c.Response().Header().Set(VersionHeader, strconv.FormatInt(version, 10))
	return c.Blob(http.StatusOK, "application/yaml", list.Source)
}

// publishRules validates a whole rule list and publishes it as the successor of
// the base version.
func (s *Server) publishRules(c echo.Context) error {
	if s.publisher == nil {
		return judge.Unavailable("publisher", "instance publishes no rule lists", time.Second)
	}
	base, err := strconv.ParseInt(c.QueryParam("base"), 10, 64)
	if err != nil || base < 0 {
		return judge.Invalid("base", `"base" must be the version of the list to replace, 0 for the first`)
	}
	source, err := s.readRules(c)
	if err != nil {
		return err
	}
	name := c.QueryParam("file")
	if name == "" {
		name = "rules.yaml"
	}
	list, err := ruler.Parse(name, source)
	if err != nil {
		return malformedRuleList(err)
	}
	version, err := s.publisher.Publish(c.Request().Context(), base, source)
	if err != nil {
		return err
	}
	s.log.Info("server: rule list published")
	return c.JSON(http.StatusOK, PublishResult{Version: version, Warnings: list.Warnings})
}

func malformedRuleList(err error) error {
	return judge.Invalid("rule-list", err.Error())
}

// readRules reads the text of a rule list, which may be larger than the body of
// a client's request.
func (s *Server) readRules(c echo.Context) ([]byte, error) {
	source, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, ruler.MaxBytes))
	var size *http.MaxBytesError
	if errors.As(err, &size) {
		return nil, &judge.Refusal{
			Status: http.StatusRequestEntityTooLarge, Code: "body-size",
			Reason: fmt.Sprintf("rule list is over %d bytes", ruler.MaxBytes),
		}
	}
	if err != nil {
		return nil, judge.Invalid("body-cut", "rule list was cut")
	}
	return source, nil
}

// showStatus responds with the state of this instance, and of all instances if
// the query has fleet=1.
func (s *Server) showStatus(c echo.Context) error {
	status := StatusResponse{State: s.State()}
	if s.fleet != nil && c.QueryParam("fleet") != "" {
		status.Fleet = s.fleet(c.Request().Context())
	}
	return c.JSON(http.StatusOK, status)
}

// State returns the state of the instance, for operators and for peers.
func (s *Server) State() State {
	reasons := s.notReadyReasons()
	state := State{
		Build:    upgrader.Current().String(),
		Instance: s.self, Ready: len(reasons) == 0, Reasons: reasons,
		Leaving: s.leaving.Load(), Open: s.OpenRequests(), Parts: s.partStatuses(),
	}
	if version, list, err := s.ruleList(); err == nil {
		state.Rules = RulesState{Version: version, Name: list.Name}
	}
	return state
}

func (s *Server) partStatuses() map[string]any {
	parts := make(map[string]any, len(s.statuses))
	for name, status := range s.statuses {
		parts[name] = status()
	}
	return parts
}

// explainRecent responds with the newest decisions. The query parameters model,
// service, class and caller filter them; failed=1 selects those that failed.
func (s *Server) explainRecent(c echo.Context) error {
	keep := func(d explainer.Decision) bool {
		return matchesFilter(c.QueryParam("model"), d.Model) && matchesFilter(c.QueryParam("service"), d.Service) &&
			matchesFilter(c.QueryParam("class"), d.Class) && matchesFilter(c.QueryParam("caller"), d.Client) &&
			(c.QueryParam("failed") == "" || d.Code != "")
	}
	return c.JSON(http.StatusOK, s.decisions.Recent(maxRecent, keep))
}

func matchesFilter(filter, value string) bool { return filter == "" || filter == value }

// explainRequest responds with the decision about one request.
func (s *Server) explainRequest(c echo.Context) error {
	d, ok := s.decisions.Find(c.Param("id"))
	if !ok {
		return &judge.Refusal{
			Status: http.StatusNotFound, Code: "request-not-found",
			Reason: "this instance remembers no request of that id; another may, or it was long ago",
		}
	}
	return c.JSON(http.StatusOK, d)
}

// explainModel responds with the rule that sets how many replicas of a model
// are kept ready, the model's demand, and the newest decisions about it. Its
// replicas and orders are in Parts.
func (s *Server) explainModel(c echo.Context) error {
	version, list, err := s.ruleList()
	if err != nil {
		return err
	}
	m, ok := list.Model(c.Param("model"))
	if !ok {
		return &judge.Refusal{
			Status: http.StatusNotFound, Code: "model_not_found", Reason: "the rule list holds no such model",
		}
	}
	explanation := ModelExplanation{Model: m, Version: version, Parts: s.partStatuses()}
	if s.demand != nil {
		explanation.Demand, explanation.Copies = s.demand.Demand(m.Name)
	}
	d := list.Decide(list.WithTime(s.clock.Now(), ruler.Situation{
		Kind: ruler.KindModel, Model: m.Name, Demand: explanation.Demand, Copies: explanation.Copies,
	}))
	explanation.Rule, explanation.Ready = d.Name, d.Then.Ready
	explanation.Recent = s.decisions.Recent(maxRecent, func(d explainer.Decision) bool { return d.Model == m.Name })
	return c.JSON(http.StatusOK, explanation)
}

// explainOrder responds with the reason for an order and its outcome.
func (s *Server) explainOrder(c echo.Context) error {
	if s.orders != nil {
		if explanation, ok := s.orders(c.Param("id")); ok {
			return c.JSON(http.StatusOK, explanation)
		}
	}
	return &judge.Refusal{
		Status: http.StatusNotFound, Code: "order-not-found",
		Reason: "this instance knows no order of that id; ask the holder of the pool",
	}
}

// explainRules evaluates the rule list in force, rule by rule, for the
// situation that the query describes.
func (s *Server) explainRules(c echo.Context) error {
	_, list, err := s.ruleList()
	if err != nil {
		return err
	}
	situation := list.WithTime(s.clock.Now(), ruler.Situation{})
	for name, values := range c.QueryParams() {
		if err := situation.Set(name, values[0]); err != nil {
			return judge.Invalid("situation", err.Error())
		}
	}
	return c.JSON(http.StatusOK, list.Explain(situation))
}

// showMetrics responds with the counters of the instance as JSON.
func (s *Server) showMetrics(c echo.Context) error {
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, []byte(s.metrics.String()))
}

// modelObject is a model in the format of the OpenAI API.
type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Owner   string `json:"owned_by"`
}

// listModels responds with the models and adapters in the rule list in force.
func (s *Server) listModels(c echo.Context) error {
	_, list, err := s.ruleList()
	if err != nil {
		return err
	}
	objects := []modelObject{}
	for _, m := range list.Models {
		objects = append(objects, modelObject{ID: m.Name, Object: "model", Owner: list.Name})
		for _, a := range m.Adapters {
			objects = append(objects, modelObject{ID: m.Name + ":" + a.Name, Object: "model", Owner: list.Name})
		}
	}
	return c.JSON(http.StatusOK, struct {
		Object string        `json:"object"`
		Data   []modelObject `json:"data"`
	}{"list", objects})
}

// showModel responds with one model of the rule list in force.
func (s *Server) showModel(c echo.Context) error {
	_, list, err := s.ruleList()
	if err != nil {
		return err
	}
	q := &generationRequest{model: c.Param("model")}
	if err := q.resolveModel(list); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, modelObject{ID: q.model, Object: "model", Owner: list.Name})
}
