package operator

import (
	"net/http"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/phuslu/log"
)

// Handler returns the handler of the JSON API below /api/v1/ and of the console
// below /console/. Use it with NewServer, which limits header sizes and times.
func Handler(control ControlPlane, auth Auth, logger *log.Logger) http.Handler {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithoutServerError(iris.ErrServerClosed), iris.WithoutInterruptHandler, iris.WithoutPathCorrectionRedirection)
	app.UseRouter(secureAndRecover(logger))
	app.Get("/", func(ctx iris.Context) { ctx.Redirect("/console/", http.StatusSeeOther) })
	(&api{control: control, auth: auth, log: logger}).routes(app.Party("/api/v1"))
	newConsole(control, auth, logger).routes(app.Party("/console"))
	app.OnErrorCode(http.StatusNotFound, func(ctx iris.Context) {
		writeError(ctx, &Error{Code: CodeNotFound, Text: "no such page: " + ctx.Path()})
	})
	if err := app.Build(); err != nil {
		// The routes are constant, so this is a programming error.
		panic("operator: cannot build routes: " + err.Error())
	}
	return app
}

// secureAndRecover limits request bodies, sets security headers on every response,
// logs requests and recovers from panics, so that a panic in one request does not
// end the process.
func secureAndRecover(logger *log.Logger) iris.Handler {
	return func(ctx iris.Context) {
		started := time.Now()
		defer func() {
			if recovered := recover(); recovered != nil {
				logger.Error().Str("path", ctx.Path()).Any("fault", recovered).Stack().Msg("operator: panic while answering a request")
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
