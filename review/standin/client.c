/*
 * Requesters.
 *
 * standin submit RECORD HOST PREFIX KEY COUNT SPEC BYTES STEPS PORT...
 *	hands COUNT submissions in over the nodes at the ports; their ids are
 *	times in milliseconds with a count. SPEC is filled up to BYTES. Prints
 *	the ids that were accepted.
 * standin states RECORD HOST PREFIX KEY PORT < ids
 *	asks for each id; prints it with the status and the answer.
 */
#include "standin.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define THREADS 16
#define LIMIT_MS 3000 /* a requester waits this long for a response */
#define TRIES 5

struct job {
	const char *host;
	const char *prefix;
	const char *key;
	const char *body;
	char **port;
	int ports;
	int count;
	int next;
};

static size_t take(char *data, size_t size, size_t n, void *arg)
{
	g_string_append_len(arg, data, (gssize)(size * n));
	return size * n;
}

/* Returns the status, or 0 without a response. */
static long call(CURL *h, const struct job *j, const char *method,
		 const char *port, const char *id, const char *body,
		 GString *text)
{
	struct curl_slist *list = NULL;
	char line[200];
	char url[300];
	long status = 0;

	snprintf(url, sizeof(url), "http://127.0.0.1:%s%s%s", port, j->prefix,
		 id);
	snprintf(line, sizeof(line), "Host: %s", j->host);
	list = curl_slist_append(list, line);
	snprintf(line, sizeof(line), "Authorization: Token %s", j->key);
	list = curl_slist_append(list, line);
	snprintf(line, sizeof(line), W_DEADLINE ": %d", LIMIT_MS);
	list = curl_slist_append(list, line);
	list = curl_slist_append(list, "Content-Type: application/json");
	g_string_truncate(text, 0);
	curl_easy_reset(h);
	curl_easy_setopt(h, CURLOPT_URL, url);
	curl_easy_setopt(h, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, (long)LIMIT_MS);
	curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, take);
	curl_easy_setopt(h, CURLOPT_WRITEDATA, text);
	if (body)
		curl_easy_setopt(h, CURLOPT_POSTFIELDS, body);
	if (curl_easy_perform(h) == CURLE_OK)
		curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &status);
	curl_slist_free_all(list);
	return status;
}

static void *submit_loop(void *arg)
{
	struct job *j = arg;
	GString *text = g_string_new(NULL);
	CURL *h = curl_easy_init();
	int i;

	while ((i = __atomic_fetch_add(&j->next, 1, __ATOMIC_RELAXED)) <
	       j->count) {
		char id[32];
		long status = 0;
		int k;

		snprintf(id, sizeof(id), "%012llx%04x",
			 (unsigned long long)g_get_real_time() / 1000,
			 (unsigned)i & 0xffff);
		for (k = 0; k < TRIES && status != 200; k++) {
			if (k)
				sleep_ms(200);
			status = call(h, j, "POST", j->port[(i + k) % j->ports],
				      id, j->body, text);
			record("post id=%s node=%d status=%ld", id,
			       (i + k) % j->ports, status);
		}
		if (status == 200)
			printf("%s\n", id);
	}
	curl_easy_cleanup(h);
	g_string_free(text, TRUE);
	return NULL;
}

static char *make_body(const char *spec, size_t bytes, const char *steps)
{
	GString *text = g_string_new(spec);
	struct json_object *o = json_object_new_object();
	char *body;

	while (text->len < bytes)
		g_string_append_c(text, 'x');
	add_str(o, "spec", text->str);
	json_object_object_add(o, "steps", json_tokener_parse(steps));
	body = g_strdup(
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
	g_string_free(text, TRUE);
	return body;
}

static int submit(int argc, char **argv)
{
	struct job j = {.host = argv[3],
			.prefix = argv[4],
			.key = argv[5],
			.count = atoi(argv[6]),
			.body = make_body(argv[7], strtoul(argv[8], NULL, 10),
					  argv[9]),
			.port = argv + 10,
			.ports = argc - 10};
	GThread *thread[THREADS];
	int i;

	for (i = 0; i < THREADS; i++)
		thread[i] = g_thread_new("submit", submit_loop, &j);
	for (i = 0; i < THREADS; i++)
		g_thread_join(thread[i]);
	return 0;
}

static int states(int argc, char **argv)
{
	struct job j = {.host = argv[3], .prefix = argv[4], .key = argv[5]};
	GString *text = g_string_new(NULL);
	CURL *h = curl_easy_init();
	char id[64];

	(void)argc;
	while (scanf("%63s", id) == 1) {
		long status = call(h, &j, "GET", argv[6], id, NULL, text);

		record("get id=%s status=%ld answer=%s", id, status, text->str);
		printf("%s %ld %s\n", id, status, text->str);
	}
	return 0;
}

int client_main(int argc, char **argv)
{
	if (argc < 7)
		return 2;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	record_open(argv[2]);
	if (!strcmp(argv[1], "submit") && argc > 10)
		return submit(argc, argv);
	if (!strcmp(argv[1], "states"))
		return states(argc, argv);
	return 2;
}
