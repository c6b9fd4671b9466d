package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/kataras/iris/v12"
	"github.com/phuslu/log"
)

// api serves the JSON API.
type api struct {
	control ControlPlane
	auth    Auth
	log     *log.Logger
}

func (a *api) routes(party iris.Party) {
	party.Use(a.authorize)
	party.Post("/apply", a.apply)
	party.Post("/preview", a.preview)
	party.Get("/history", a.history)
	party.Get("/document/{revision:string}", a.document)
	party.Post("/drain", post(a, a.control.Drain))
	party.Post("/move", post(a, a.control.Move))
	party.Post("/split", post(a, a.control.Split))
	party.Post("/merge", post(a, a.control.Merge))
	party.Post("/automation", post(a, a.control.Automation))
	party.Post("/control", post(a, a.control.ControlChange))
	party.Get("/status", a.status)
	party.Get("/dump/{member:string}", a.dump)
}

func (a *api) authorize(ctx iris.Context) {
	if !a.auth.allows(ctx.Request()) {
		a.log.Warn().Str("from", ctx.Request().RemoteAddr).Str("path", ctx.Path()).Msg("operator: request without a valid token")
		ctx.Header("WWW-Authenticate", "Bearer")
		writeError(ctx, &Error{Code: CodeUnauthorized, Text: "the request does not carry a token of this cluster's secret"})
		return
	}
	ctx.Next()
}

// action is a request that post handles: every POST request except apply and
// preview.
type action interface {
	check() *Error
	// change returns the change id and the author for log lines.
	change() (id, author string)
}

// post returns a handler that decodes an action from the JSON body, checks it and
// passes it to call.
func post[Request action, Reply any](a *api, call func(context.Context, Request) (Reply, error)) iris.Handler {
	return func(ctx iris.Context) {
		var request Request
		if err := readJSON(ctx.Request(), &request); err != nil {
			a.fail(ctx, err)
			return
		}
		if err := request.check(); err != nil {
			a.fail(ctx, err)
			return
		}
		reply, err := call(ctx.Request().Context(), request)
		if err != nil {
			a.fail(ctx, err)
			return
		}
		id, author := request.change()
		a.log.Info().Str("path", ctx.Path()).Str("change", id).Str("author", author).Msg("operator: action accepted")
		writeJSON(ctx, http.StatusOK, reply)
	}
}

func (a *api) apply(ctx iris.Context) {
	var request ApplyRequest
	if err := readJSON(ctx.Request(), &request); err != nil {
		a.fail(ctx, err)
		return
	}
	reply, err := validateAndApply(ctx.Request().Context(), a.control, request)
	if err != nil {
		a.fail(ctx, err)
		return
	}
	a.log.Info().Str("author", request.Author).Str("change", request.ChangeID).Uint64("base", request.Base).
		Uint64("revision", reply.Revision).Bool("conflict", reply.Conflict != nil).Int("findings", len(reply.Findings)).
		Msg("operator: document received")
	writeJSON(ctx, reply.status(), reply)
}

func (a *api) preview(ctx iris.Context) {
	var request PreviewRequest
	if err := readJSON(ctx.Request(), &request); err != nil {
		a.fail(ctx, err)
		return
	}
	reply, err := validateAndPreview(ctx.Request().Context(), a.control, request.Text)
	if err != nil {
		a.fail(ctx, err)
		return
	}
	writeJSON(ctx, http.StatusOK, reply)
}

func (a *api) history(ctx iris.Context) {
	changes, err := a.control.History(ctx.Request().Context())
	if err != nil {
		a.fail(ctx, err)
		return
	}
	writeJSON(ctx, http.StatusOK, changes)
}

func (a *api) document(ctx iris.Context) {
	revision, err := strconv.ParseUint(ctx.Params().Get("revision"), 10, 64)
	if err != nil {
		a.fail(ctx, &Error{Code: CodeInvalid, Text: "revision is not a whole number"})
		return
	}
	reply, err := a.control.Document(ctx.Request().Context(), revision)
	if err != nil {
		a.fail(ctx, err)
		return
	}
	writeJSON(ctx, http.StatusOK, reply)
}

func (a *api) status(ctx iris.Context) {
	status, err := a.control.Status(ctx.Request().Context())
	if err != nil {
		a.fail(ctx, err)
		return
	}
	writeJSON(ctx, http.StatusOK, status)
}

func (a *api) dump(ctx iris.Context) {
	text, err := a.control.Dump(ctx.Request().Context(), ctx.Params().Get("member"))
	if err != nil {
		a.fail(ctx, err)
		return
	}
	writeJSON(ctx, http.StatusOK, text)
}

// fail answers with an error. Internal errors are logged.
func (a *api) fail(ctx iris.Context, err error) {
	e := asError(err)
	if e.Code == CodeInternal {
		a.log.Error().Err(err).Str("path", ctx.Path()).Msg("operator: request failed with an internal error")
	}
	writeError(ctx, e)
}

// readJSON decodes the body, which must be one JSON value. Unknown fields are
// refused, so that an older process does not ignore a part of a request of a newer
// bqctl. Another content type than application/json is refused, because browsers let
// a form of another site send it without a preflight request.
func readJSON(r *http.Request, out any) error {
	if kind, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type")); kind != "application/json" {
		return &Error{Code: CodeInvalid, Text: "the body must have the content type application/json"}
	}
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(out)
	if err == nil {
		if _, err = decoder.Token(); errors.Is(err, io.EOF) {
			return nil
		}
		return &Error{Code: CodeInvalid, Text: "the body holds more than one JSON value"}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &Error{Code: CodeTooLarge, Text: "the body is larger than " + strconv.Itoa(MaxBodyBytes) + " bytes"}
	}
	return &Error{Code: CodeInvalid, Text: "the body is not the expected JSON: " + err.Error()}
}

func writeError(ctx iris.Context, e *Error) { writeJSON(ctx, e.Code.status(), e) }

func writeJSON(ctx iris.Context, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		status, text = http.StatusInternalServerError, []byte(`{"code":"internal","text":"the answer cannot be encoded"}`)
	}
	ctx.ContentType("application/json")
	ctx.StatusCode(status)
	_, _ = ctx.Write(append(text, '\n'))
	ctx.StopExecution()
}
