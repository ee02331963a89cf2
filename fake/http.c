#include "fake/http_impl.h"

#include <stdio.h>

struct mg_context *seam_fake_http_start(const char *addr, int threads,
					mg_request_handler fn, void *arg)
{
	char num_threads[16];
	const char *options[] = {"listening_ports",
				 addr,
				 "num_threads",
				 num_threads,
				 "enable_keep_alive",
				 "yes",
				 "keep_alive_timeout_ms",
				 "20000",
				 "tcp_nodelay",
				 "1",
				 NULL};
	struct mg_context *ctx;

	snprintf(num_threads, sizeof(num_threads), "%d", threads);
	mg_init_library(0);
	ctx = mg_start(NULL, arg, options);
	if (ctx)
		mg_set_request_handler(ctx, "/", fn, arg);
	else
		mg_exit_library();
	return ctx;
}

void seam_fake_http_stop(struct mg_context *ctx)
{
	mg_stop(ctx);
	mg_exit_library();
}
