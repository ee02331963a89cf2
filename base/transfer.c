#include "base/transfer.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define INITIAL_BYTES 4096

static bool grow(struct seam_transfer *r, size_t need)
{
	size_t cap = r->cap ? r->cap * 2 : INITIAL_BYTES;
	char *body;

	while (cap < need)
		cap *= 2;
	body = realloc(r->body, cap);
	if (!body)
		return false;
	r->body = body;
	r->cap = cap;
	return true;
}

static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	struct seam_transfer *r = arg;
	size_t added = size * n;
	size_t need = r->len + added + 1;

	if (need > r->max) {
		r->too_large = true;
		return 0;
	}
	if (need > r->cap && !grow(r, need))
		return 0;
	memcpy(r->body + r->len, data, added);
	r->len += added;
	r->body[r->len] = '\0';
	return added;
}

static int on_start(void *arg, char *ip, char *local_ip, int port,
		    int local_port)
{
	struct seam_transfer *r = arg;
	bool already_sent = r->sent;

	(void)ip;
	(void)local_ip;
	(void)port;
	(void)local_port;
	if (r->clock && seam_now(r->clock) > r->send_by)
		return CURL_PREREQFUNC_ABORT;
	r->sent = true;
	return r->once && already_sent ? CURL_PREREQFUNC_ABORT :
					 CURL_PREREQFUNC_OK;
}

/*
 * Makes close() reset the connection, which discards undelivered data of an
 * abandoned request.
 */
static int on_socket(void *arg, curl_socket_t fd, curlsocktype purpose)
{
	struct linger l = {.l_onoff = 1};

	(void)arg;
	(void)purpose;
	if (setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l)))
		return CURL_SOCKOPT_ERROR;
	return CURL_SOCKOPT_OK;
}

void seam_transfer_setup(CURL *h, struct seam_transfer *r)
{
	curl_easy_setopt(h, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h, CURLOPT_PROXY, "");
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(h, CURLOPT_WRITEDATA, r);
	curl_easy_setopt(h, CURLOPT_PREREQFUNCTION, on_start);
	curl_easy_setopt(h, CURLOPT_PREREQDATA, r);
	curl_easy_setopt(h, CURLOPT_SOCKOPTFUNCTION, on_socket);
}

bool seam_transfer_not_sent(CURL *h, const struct seam_transfer *r, CURLcode rc)
{
	long sent = 0;

	curl_easy_getinfo(h, CURLINFO_REQUEST_SIZE, &sent);
	return !r->sent && (rc == CURLE_COULDNT_CONNECT || !sent);
}
