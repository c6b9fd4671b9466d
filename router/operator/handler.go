package operator

import (
	"net/http"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/phuslu/log"
)

// Handler serves the JSON API below /api/v1/ and the console below /console/.
// Use it with NewServer, which limits headers and times.
func Handler(control ControlPlane, auth Auth, logger *log.Logger) http.Handler {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithoutServerError(iris.ErrServerClosed), iris.WithoutInterruptHandler, iris.WithoutPathCorrectionRedirection)
	app.UseRouter(protect(logger))
	app.Get("/", func(ctx iris.Context) { ctx.Redirect("/console/", http.StatusSeeOther) })
	(&api{control: control, auth: auth, log: logger}).routes(app.Party("/api/v1"))
	newConsole(control, auth, logger).routes(app.Party("/console"))
	app.OnErrorCode(http.StatusNotFound, func(ctx iris.Context) {
		writeError(ctx, &Error{Code: CodeNotFound, Text: "no such page: " + ctx.Path()})
	})
	if err := app.Build(); err != nil {
		// Routes are fixed, so that this is a fault of the program.
		panic("operator: cannot build routes: " + err.Error())
	}
	return app
}

// protect limits bodies, sets headers for every answer and keeps a fault in
// one request from ending the process.
func protect(logger *log.Logger) iris.Handler {
	return func(ctx iris.Context) {
		started := time.Now()
		defer func() {
			if fault := recover(); fault != nil {
				logger.Error().Str("path", ctx.Path()).Any("fault", fault).Stack().Msg("operator: fault while answering a request")
				writeError(ctx, asError(nil))
			}
			logger.Debug().Str("method", ctx.Method()).Str("path", ctx.Path()).Int("status", ctx.GetStatusCode()).
				Str("from", ctx.Request().RemoteAddr).Dur("took", time.Since(started)).Msg("operator: request")
		}()
		ctx.Header("X-Content-Type-Options", "nosniff")
		ctx.Header("Cache-Control", "no-store")
		ctx.Header("Referrer-Policy", "no-referrer")
		ctx.Header("X-Frame-Options", "DENY")
		ctx.Header("Content-Security-Policy", "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'")
		ctx.SetMaxRequestBodySize(MaxBodyBytes)
		ctx.Next()
	}
}
