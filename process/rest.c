#include "process/rest.h"
#include "base/traffic.h"
#include "base/transfer.h"

#include <ctype.h>
#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define IDLE_HANDLES_MAX 8
#define RESPONSE_BYTES_MAX (64u << 20)

struct seam_rest {
	struct seam_clock *clock;
	char url[128];
	pthread_mutex_t lock;
	CURL *idle[IDLE_HANDLES_MAX];
	int idle_count;
	int idle_max;
};

struct seam_rest *seam_rest_new(struct seam_clock *k, const char *url)
{
	struct seam_rest *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	r->clock = k;
	r->idle_max = IDLE_HANDLES_MAX;
	snprintf(r->url, sizeof(r->url), "%s", url);
	pthread_mutex_init(&r->lock, NULL);
	return r;
}

void seam_rest_keep_one_connection(struct seam_rest *r)
{
	r->idle_max = 1;
}

void seam_rest_free(struct seam_rest *r)
{
	if (!r)
		return;
	while (r->idle_count)
		curl_easy_cleanup(r->idle[--r->idle_count]);
	pthread_mutex_destroy(&r->lock);
	free(r);
	curl_global_cleanup();
}

static CURL *acquire_handle(struct seam_rest *r)
{
	CURL *c = NULL;

	pthread_mutex_lock(&r->lock);
	if (r->idle_count)
		c = r->idle[--r->idle_count];
	pthread_mutex_unlock(&r->lock);
	return c ? c : curl_easy_init();
}

static void release_handle(struct seam_rest *r, CURL *c)
{
	pthread_mutex_lock(&r->lock);
	if (r->idle_count < r->idle_max) {
		r->idle[r->idle_count++] = c;
		c = NULL;
	}
	pthread_mutex_unlock(&r->lock);
	curl_easy_cleanup(c);
}

static void set_options(CURL *h, const struct seam_rest_request *c,
			struct seam_transfer *in, long timeout_ms)
{
	seam_transfer_setup(h, in);
	curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(h, CURLOPT_FRESH_CONNECT, c->fresh ? 1L : 0L);
	if (c->body) {
		curl_easy_setopt(h, CURLOPT_POSTFIELDS, c->body);
		curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)(c->body_len ? c->body_len :
							    strlen(c->body)));
	}
	curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, c->method);
}

/* Counts the bytes of a transfer that began at @begin. */
static void count_traffic(struct seam_rest *r, CURL *h,
			  const struct seam_rest_request *c, seam_time begin)
{
	curl_off_t body_sent = 0;
	curl_off_t body = 0;
	long head_sent = 0;
	long head = 0;

	curl_easy_getinfo(h, CURLINFO_REQUEST_SIZE, &head_sent);
	curl_easy_getinfo(h, CURLINFO_SIZE_UPLOAD_T, &body_sent);
	curl_easy_getinfo(h, CURLINFO_HEADER_SIZE, &head);
	curl_easy_getinfo(h, CURLINFO_SIZE_DOWNLOAD_T, &body);
	/* What libcurl sends together with the head counts as part of it. */
	if (head_sent > body_sent)
		body_sent = 0;
	seam_traffic_add(c->path, head_sent + body_sent, head + body,
			 seam_now(r->clock) - begin);
}

static int perform(struct seam_rest *r, CURL *h,
		   const struct seam_rest_request *c,
		   struct seam_rest_response *a, struct seam_err *e)
{
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	struct seam_transfer in = {.max = RESPONSE_BYTES_MAX,
				   .once = c->once,
				   .clock = r->clock,
				   .send_by = c->deadline};
	seam_time begin = seam_now(r->clock);
	seam_time timeout_ms = (c->deadline - begin) / SEAM_MSEC;
	char url[1024];
	char type[64];
	const char *const *line;
	long status = 0;
	CURLcode rc;

	snprintf(url, sizeof(url), "%s%s", r->url, c->path);
	snprintf(type, sizeof(type), "Content-Type: %s",
		 c->type ? c->type : "application/json");
	list = curl_slist_append(list, type);
	for (line = c->header; line && *line; line++)
		list = curl_slist_append(list, *line);
	if (c->fresh)
		list = curl_slist_append(list, "Connection: close");
	curl_easy_reset(h);
	curl_easy_setopt(h, CURLOPT_URL, url);
	curl_easy_setopt(h, CURLOPT_HTTPHEADER, list);
	set_options(h, c, &in, (long)timeout_ms);
	rc = curl_easy_perform(h);
	curl_slist_free_all(list);
	count_traffic(r, h, c, begin);
	curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &status);
	if (rc == CURLE_OK) {
		*a = (struct seam_rest_response){(int)status, in.body, in.len};
		return 0;
	}
	free(in.body);
	return seam_fail(e,
			 seam_transfer_not_sent(h, &in, rc) ?
				 SEAM_UNAVAILABLE :
				 SEAM_COMMIT_UNKNOWN,
			 "platform: %s", curl_easy_strerror(rc));
}

int seam_rest_do(struct seam_rest *r, const struct seam_rest_request *c,
		 struct seam_rest_response *a, struct seam_err *e)
{
	CURL *h;
	int rc;

	memset(a, 0, sizeof(*a));
	if (c->deadline - seam_now(r->clock) < SEAM_MSEC)
		return seam_fail(e, SEAM_UNAVAILABLE,
				 "platform: no time left for a request");
	h = acquire_handle(r);
	if (!h)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	rc = perform(r, h, c, a, e);
	if (rc)
		curl_easy_cleanup(h);
	else
		release_handle(r, h);
	return rc;
}

void seam_rest_escape(char *out, size_t size, const char *text)
{
	size_t n = strlen(out);

	for (; *text && n + 4 < size; text++) {
		unsigned char ch = (unsigned char)*text;

		if (isalnum(ch) || strchr("-_.~/", ch))
			out[n++] = (char)ch;
		else
			n += (size_t)snprintf(out + n, size - n, "%%%02X", ch);
	}
	out[n] = '\0';
}
