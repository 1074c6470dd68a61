// Copyright 2026 The traildrift authors.
// SPDX-License-Identifier: BSD-3-Clause

package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/traildrift/traildrift/internal/quota"
	"github.com/traildrift/traildrift/internal/wire"
	"github.com/traildrift/traildrift/pkg/config"
	"github.com/traildrift/traildrift/pkg/fault"
)

// Headers of the HTTP interface for callers.
const (
	headerKey      = "Idempotency-Key"
	headerDistrict = "Traildrift-District"
	headerSession  = "Traildrift-Session"
	headerDeadline = "Traildrift-Deadline"
	headerPriority = "Traildrift-Priority"
	headerRequest  = "Traildrift-Request"
	headerModel    = "Traildrift-Model"
	headerVersion  = "Traildrift-Version"
)

// maxKeyBytes is the maximum length of a caller's key, in bytes.
const maxKeyBytes = 512

// chatPath is the path of chat completions, at entries and at engines.
const chatPath = "/v1/chat/completions"

// authorize returns the workspace of the API key.
func (e *Entry) authorize(ctx *fasthttp.RequestCtx) (string, *fault.Error) {
	if e.Holder.Revision() == 0 {
		return "", fault.New(fault.StaleSettings, fault.NotRun, "The entry has no settings yet.").WithRetryAt(defaultRetryAfter.After(e.Now()))
	}
	auth := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	key, ok := strings.CutPrefix(auth, "Bearer ")
	if !ok || key == "" {
		return "", fault.New(fault.Unauthorized, fault.NotRun, "An API key is required.")
	}
	workspace, ok := e.Holder.Current().Workspace(key)
	if !ok {
		return "", fault.New(fault.Unauthorized, fault.NotRun, "The API key is not known.")
	}
	return workspace, nil
}

// bodyCopies is how many times a body is in memory while its call is served: as it was read, in the message to the guard,
// where it is encoded, and in the buffer of the link.
const bodyCopies = 4

// readBody reads the body of a call whose caller is known. It charges the memory to the caller's connection until the end
// of the call.
func (e *Entry) readBody(ctx *fasthttp.RequestCtx) ([]byte, *fault.Error) {
	length := ctx.Request.Header.ContentLength()
	c, stream := quota.Of(ctx.Conn()), ctx.RequestBodyStream()
	var body []byte
	var err error
	if stream != nil && length != 0 {
		body, err = c.ReadBody(stream, quota.Body{Length: int64(length), MaxBytes: e.settings.MaxBody, Copies: bodyCopies})
	}
	if err == nil {
		ctx.SetUserValue(bodyReadKey{}, true)
		err = c.BeginService()
	}
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, quota.ErrNoMemory):
		return nil, e.noMemory()
	case errors.Is(err, quota.ErrTooLarge):
		return nil, fault.New(fault.TooLarge, fault.NotRun, "The body has more than %d bytes.", e.settings.MaxBody)
	default:
		return nil, fault.New(fault.BadRequest, fault.NotRun, "The request could not be read.")
	}
}

// noMemory returns the answer to a call for which there is no memory.
func (e *Entry) noMemory() *fault.Error {
	return fault.New(fault.Overloaded, fault.NotRun, "The memory for callers is used up by other requests.").WithRetryAt(defaultRetryAfter.After(e.Now()))
}

// parseHeaders reads the headers that chat requests and service calls have in
// common. It returns the call and the caller's key, which is empty without one.
func (e *Entry) parseHeaders(ctx *fasthttp.RequestCtx, workspace string) (wire.Call, string, *fault.Error) {
	h := &ctx.Request.Header
	c := wire.Call{
		Workspace:   workspace,
		District:    string(h.Peek(headerDistrict)),
		Session:     string(h.Peek(headerSession)),
		Priority:    string(h.Peek(headerPriority)),
		Method:      string(ctx.Method()),
		ContentType: string(h.ContentType()),
	}
	if c.Priority != "" && c.Priority != config.Interactive && c.Priority != config.Patient {
		return c, "", fault.New(fault.BadRequest, fault.NotRun, "%s is %s or %s.", headerPriority, config.Interactive, config.Patient)
	}
	if strings.Contains(c.District, "/") {
		return c, "", fault.New(fault.BadRequest, fault.NotRun, "%s holds no /.", headerDistrict)
	}
	if text := string(h.Peek(headerDeadline)); text != "" {
		t, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return c, "", fault.New(fault.BadRequest, fault.NotRun, "%s is a time such as 2026-01-02T15:04:05Z.", headerDeadline)
		}
		if !t.After(e.Now()) {
			return c, "", fault.New(fault.DeadlinePassed, fault.NotRun, "The deadline has passed.")
		}
		c.Deadline = t
	}
	key := string(h.Peek(headerKey))
	if len(key) > maxKeyBytes {
		return c, "", fault.New(fault.BadRequest, fault.NotRun, "%s has at most %d bytes.", headerKey, maxKeyBytes)
	}
	return c, key, nil
}

// chatBody holds the fields of a chat request that the entry reads.
type chatBody struct {
	Model     string   `json:"model"`
	Messages  anyItems `json:"messages"`
	MaxTokens int      `json:"max_tokens"`
	Stream    bool     `json:"stream"`
}

// anyItems says whether a JSON array has items. These are not kept: very many short ones would take many times the memory
// of the body.
type anyItems bool

// UnmarshalJSON implements json.Unmarshaler.
func (a *anyItems) UnmarshalJSON(text []byte) error {
	if string(text) == "null" {
		*a = false
		return nil
	}
	if len(text) == 0 || text[0] != '[' {
		return errors.New("entry: no list")
	}
	*a = len(bytes.TrimSpace(text[1:len(text)-1])) > 0
	return nil
}

// parseChat reads the body of a chat request. The model it names is a workload of the
// workspace or, if there is none of that name, a model that the workspace allows.
func (e *Entry) parseChat(c *wire.Call) *fault.Error {
	var b chatBody
	if err := json.Unmarshal(c.Body, &b); err != nil {
		return fault.New(fault.BadRequest, fault.NotRun, "The body is no JSON of a chat request.")
	}
	if b.Model == "" || !bool(b.Messages) {
		return fault.New(fault.BadRequest, fault.NotRun, "model and messages are required.")
	}
	if b.MaxTokens < 0 {
		return fault.New(fault.BadRequest, fault.NotRun, "max_tokens is 0 or more.")
	}
	c.Path, c.Method = chatPath, fasthttp.MethodPost
	c.Stream, c.MaxTokens = b.Stream, b.MaxTokens
	snap := e.Holder.Current()
	switch snap.Serves(c.Workspace, b.Model) {
	case config.ServesChat:
		c.Workload = b.Model
	case "":
		c.Model, _ = modelOf(b.Model)
		return e.checkModel(snap, c)
	default:
		return fault.New(fault.NotAllowed, fault.NotRun, "The workload %s serves no chat.", b.Model)
	}
	return nil
}

// checkModel refuses a model of which the workspace allows no version.
func (e *Entry) checkModel(snap *config.Snapshot, c *wire.Call) *fault.Error {
	for _, cand := range snap.Candidates(snap.Effective(c.Workspace, "", "")) {
		if cand.Model == c.Model {
			return nil
		}
	}
	return fault.New(fault.NotAllowed, fault.NotRun, "The workspace has no workload and allows no model %q.", c.Model)
}

// servicePrefix is the path prefix of calls to plain services.
const servicePrefix = "/svc/"

// parseService reads the path of a service call: the prefix, the workload and the path at
// the service.
func (e *Entry) parseService(ctx *fasthttp.RequestCtx, c *wire.Call) *fault.Error {
	rest := strings.TrimPrefix(string(ctx.Path()), servicePrefix)
	workload, path, _ := strings.Cut(rest, "/")
	serves := e.Holder.Current().Serves(c.Workspace, workload)
	if serves == "" || serves == config.ServesChat {
		return fault.New(fault.NotFound, fault.NotRun, "The workspace has no workload %q of a plain service.", workload)
	}
	c.Workload, c.Service, c.Path = workload, serves, "/"+path
	if q := ctx.URI().QueryString(); len(q) > 0 {
		c.Path += "?" + string(q)
	}
	return nil
}
