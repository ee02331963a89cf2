#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define STORE_ANSWER_US 3000
#define PAGE_ROWS_MAX 500
#define PAGE_BYTES_MAX (1 << 20)
#define FEED_MAX_MS 30000
#define LISTED_ENDS_MAX 500

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char work_dir[200];
static char daemon_path[200];
static int64_t began;
bool trouble;

int64_t now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

static int64_t unix_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

void note(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&record_lock);
	fprintf(record, "%8.3f  ", (double)(now_ms() - began) / 1000);
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

/* ---- HTTP ---- */

struct server {
	int fd;
	handler fn;
	void *arg;
};

struct conn {
	int fd;
	struct server *s;
};

/* Reads a message; returns its head, cut at its end, and the body. */
static int read_message(int fd, GString *buf, char **head, char **body)
{
	char part[65536];
	char *end;
	size_t length = 0;
	ssize_t n;

	while (!(end = strstr(buf->str, "\r\n\r\n"))) {
		n = read(fd, part, sizeof(part));
		if (n <= 0)
			return -1;
		g_string_append_len(buf, part, n);
	}
	*head = g_strndup(buf->str, (gsize)(end - buf->str));
	{
		char *l = strcasestr(*head, "\r\ncontent-length:");

		if (l)
			length = strtoul(l + 17, NULL, 10);
	}
	g_string_erase(buf, 0, end - buf->str + 4);
	while (buf->len < length) {
		n = read(fd, part, sizeof(part));
		if (n <= 0) {
			g_free(*head);
			return -1;
		}
		g_string_append_len(buf, part, n);
	}
	*body = g_strndup(buf->str, length);
	g_string_erase(buf, 0, (gssize)length);
	return 0;
}

static int write_all(int fd, const char *data, size_t n)
{
	while (n) {
		ssize_t w = send(fd, data, n, MSG_NOSIGNAL);

		if (w <= 0)
			return -1;
		data += w;
		n -= (size_t)w;
	}
	return 0;
}

static void *serve_conn(void *arg)
{
	struct conn *c = arg;
	GString *buf = g_string_new(NULL);
	char *head;
	char *body;
	bool open = true;

	while (open && !read_message(c->fd, buf, &head, &body)) {
		struct reply r = {200, g_string_new(NULL)};
		char **word = g_strsplit(head, " ", 3);
		char *line;

		if (g_strv_length(word) == 3)
			c->s->fn(c->s->arg, word[0], word[1], head, body, &r);
		if (r.status) {
			line = g_strdup_printf("HTTP/1.1 %d X\r\nContent-Type: "
					       "application/json\r\n"
					       "Content-Length: %zu\r\n\r\n",
					       r.status, r.body->len);
			g_string_prepend(r.body, line);
			g_free(line);
			open = !write_all(c->fd, r.body->str, r.body->len);
		} else {
			/* Hangs until the caller gives up. */
			char b;

			while (read(c->fd, &b, 1) > 0)
				continue;
			open = false;
		}
		g_strfreev(word);
		g_string_free(r.body, TRUE);
		g_free(head);
		g_free(body);
	}
	close(c->fd);
	g_string_free(buf, TRUE);
	free(c);
	return NULL;
}

static int start_thread(void *(*fn)(void *), void *arg)
{
	pthread_attr_t a;
	pthread_t t;
	int rc;

	pthread_attr_init(&a);
	pthread_attr_setstacksize(&a, 512 << 10);
	pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
	rc = pthread_create(&t, &a, fn, arg);
	pthread_attr_destroy(&a);
	return rc;
}

static void *accept_loop(void *arg)
{
	struct server *s = arg;

	for (;;) {
		struct conn *c = calloc(1, sizeof(*c));
		int one = 1;

		c->fd = accept4(s->fd, NULL, NULL, SOCK_CLOEXEC);
		c->s = s;
		if (c->fd < 0) {
			free(c);
			usleep(1000);
			continue;
		}
		setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		if (start_thread(serve_conn, c)) {
			close(c->fd);
			free(c);
		}
	}
	return NULL;
}

static int bind_port(int port)
{
	struct sockaddr_in a = {.sin_family = AF_INET,
				.sin_port = htons((uint16_t)port),
				.sin_addr = {htonl(INADDR_LOOPBACK)}};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a))) {
		close(fd);
		return -1;
	}
	return fd;
}

static int port_of(int fd)
{
	struct sockaddr_in a;
	socklen_t n = sizeof(a);

	getsockname(fd, (struct sockaddr *)&a, &n);
	return ntohs(a.sin_port);
}

int http_listen(int port, handler fn, void *arg)
{
	struct server *s = calloc(1, sizeof(*s));

	s->fd = bind_port(port);
	s->fn = fn;
	s->arg = arg;
	if (s->fd < 0 || listen(s->fd, 512) || start_thread(accept_loop, s)) {
		note("cannot listen");
		exit(2);
	}
	return port_of(s->fd);
}

/*
 * Returns a port that is free now, below those that the system gives to
 * outgoing connections.
 */
static int free_port(void)
{
	int port;
	int fd;

	do {
		port = g_random_int_range(12000, 30000);
		fd = bind_port(port);
	} while (fd < 0);
	close(fd);
	return port;
}

int http_call(int port, const char *method, const char *path, const char *head,
	      const char *body, int timeout_ms, char **answer)
{
	struct sockaddr_in a = {.sin_family = AF_INET,
				.sin_port = htons((uint16_t)port),
				.sin_addr = {htonl(INADDR_LOOPBACK)}};
	struct timeval tv = {timeout_ms / 1000, timeout_ms % 1000 * 1000};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	GString *buf = g_string_new(NULL);
	char *rhead;
	char *rbody;
	int status = 0;

	if (answer)
		*answer = NULL;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
	if (!connect(fd, (struct sockaddr *)&a, sizeof(a))) {
		char *m = g_strdup_printf("%s %s HTTP/1.1\r\n%sContent-Length: "
					  "%zu\r\nConnection: close\r\n\r\n%s",
					  method, path, head ? head : "",
					  body ? strlen(body) : 0,
					  body ? body : "");

		if (!write_all(fd, m, strlen(m)) &&
		    !read_message(fd, buf, &rhead, &rbody)) {
			status = atoi(rhead + 9);
			g_free(rhead);
			if (answer)
				*answer = rbody;
			else
				g_free(rbody);
		}
		g_free(m);
	}
	close(fd);
	g_string_free(buf, TRUE);
	return status;
}

/* ---- JSON ---- */

static const char *str(struct json_object *o, const char *name)
{
	struct json_object *v = NULL;

	json_object_object_get_ex(o, name, &v);
	return v ? json_object_get_string(v) : "";
}

static int64_t num(struct json_object *o, const char *name)
{
	struct json_object *v = NULL;

	json_object_object_get_ex(o, name, &v);
	return json_object_get_int64(v);
}

static struct json_object *list(struct json_object *o, const char *name)
{
	struct json_object *v = NULL;

	json_object_object_get_ex(o, name, &v);
	return json_object_is_type(v, json_type_array) ? v : NULL;
}

static size_t length(struct json_object *l)
{
	return l ? json_object_array_length(l) : 0;
}

/* ---- Store ---- */

struct row {
	int64_t ver;
	char *value; /* base64; NULL if it was removed */
	bool shared;
};

struct change {
	int64_t ver;
	char *table, *part, *key, *value;
};

static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static GHashTable *parts; /* "table\npart" to GTree of key to struct row */
static GPtrArray *changes;
static int64_t ver = 1000;
int64_t store_largest_value;
int64_t store_refused;
int64_t store_rows_read;

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer arg)
{
	(void)arg;
	return strcmp(a, b);
}

static GTree *part_of(const char *table, const char *part)
{
	char *name = g_strdup_printf("%s\n%s", table, part);
	GTree *t = g_hash_table_lookup(parts, name);

	if (!t) {
		t = g_tree_new_full(compare_keys, NULL, NULL, NULL);
		g_hash_table_insert(parts, g_strdup(name), t);
	}
	g_free(name);
	return t;
}

void store_init(void)
{
	parts = g_hash_table_new(g_str_hash, g_str_equal);
	changes = g_ptr_array_new();
}

static void put_row(const char *table, const char *part, const char *key,
		    const char *base64)
{
	GTree *t = part_of(table, part);
	struct row *r = g_tree_lookup(t, key);
	struct change *c = g_new0(struct change, 1);

	if (!r) {
		r = g_new0(struct row, 1);
		g_tree_insert(t, g_strdup(key), r);
	}
	if (!r->shared)
		g_free(r->value);
	r->shared = false;
	r->value = g_strdup(base64);
	r->ver = ver;
	*c = (struct change){ver, g_strdup(table), g_strdup(part),
			     g_strdup(key), g_strdup(base64)};
	g_ptr_array_add(changes, c);
}

void store_put(const char *table, const char *part, const char *key,
	       const char *text)
{
	char *b = text ? g_base64_encode((const guchar *)text, strlen(text)) :
			 NULL;

	pthread_mutex_lock(&store_lock);
	ver++;
	put_row(table, part, key, b);
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
	g_free(b);
}

void store_put_old(const char *table, const char *part, const char *key,
		   const char *base64)
{
	struct row *r = g_new0(struct row, 1);

	pthread_mutex_lock(&store_lock);
	r->ver = 1;
	r->value = (char *)base64;
	r->shared = true;
	g_tree_insert(part_of(table, part), g_strdup(key), r);
	pthread_mutex_unlock(&store_lock);
}

char *store_get(const char *table, const char *part, const char *key)
{
	char *text = NULL;
	struct row *r;
	gsize n;

	pthread_mutex_lock(&store_lock);
	r = g_tree_lookup(part_of(table, part), key);
	if (r && r->value)
		text = (char *)g_base64_decode(r->value, &n);
	if (text) {
		text = g_realloc(text, n + 1);
		text[n] = '\0';
	}
	pthread_mutex_unlock(&store_lock);
	return text;
}

/* Keys, parts and tables of the tests need no escapes. */
static void add_row(GString *s, const char *table, const char *part,
		    const char *key, const char *value, int64_t v)
{
	g_string_append_printf(s,
			       "%s{\"table\":\"%s\",\"part\":\"%s\",\"key\":"
			       "\"%s\",\"ver\":%" PRId64 ",",
			       s->str[s->len - 1] == '[' ? "" : ",", table,
			       part, key, v);
	if (value)
		g_string_append_printf(s, "\"value\":\"%s\"}", value);
	else
		g_string_append(s, "\"tombstone\":true}");
}

static char *param(const char *path, const char *name)
{
	const char *q = strchr(path, '?');
	char **pair = g_strsplit(q ? q + 1 : "", "&", -1);
	char *value = NULL;
	size_t n = strlen(name);
	int i;

	for (i = 0; pair[i] && !value; i++)
		if (!strncmp(pair[i], name, n) && pair[i][n] == '=')
			value = g_uri_unescape_string(pair[i] + n + 1, NULL);
	g_strfreev(pair);
	return value ? value : g_strdup("");
}

static void rows_get(const char *path, struct reply *r)
{
	char *table = param(path, "table");
	char *part = param(path, "part");
	char *from = param(path, "from");
	char *target = param(path, "target");
	char *max = param(path, "limit");
	size_t limit = strtoul(max, NULL, 10);
	bool more = false;
	size_t n = 0;
	GTreeNode *at;

	if (!limit || limit > PAGE_ROWS_MAX)
		limit = PAGE_ROWS_MAX;
	g_string_append(r->body, "{\"rows\":[");
	pthread_mutex_lock(&store_lock);
	for (at = g_tree_lower_bound(part_of(table, part), from); at;
	     at = g_tree_node_next(at)) {
		struct row *w = g_tree_node_value(at);

		if (*target && strcmp(g_tree_node_key(at), target) >= 0)
			break;
		if (!w->value)
			continue;
		if (n == limit || r->body->len > PAGE_BYTES_MAX) {
			more = true;
			break;
		}
		add_row(r->body, table, part, g_tree_node_key(at), w->value,
			w->ver);
		n++;
	}
	store_rows_read += (int64_t)n;
	g_string_append_printf(r->body,
			       "],\"hasMore\":%s,\"ver\":%" PRId64
			       ",\"nowMs\":%" PRId64 "}",
			       more ? "true" : "false", ver, now_ms());
	pthread_mutex_unlock(&store_lock);
	g_free(table);
	g_free(part);
	g_free(from);
	g_free(target);
	g_free(max);
}

static void rows_feed(const char *path, struct reply *r)
{
	char *table = param(path, "table");
	char *after_text = param(path, "after");
	char *wait = param(path, "waitMs");
	int64_t after = strtoll(after_text, NULL, 10);
	int64_t until = now_ms() + MIN(strtoll(wait, NULL, 10), FEED_MAX_MS);
	size_t n = 0;
	guint i;

	g_string_append(r->body, "{\"rows\":[");
	pthread_mutex_lock(&store_lock);
	for (;;) {
		struct timespec t;

		for (i = changes->len; i > 0; i--)
			if (((struct change *)changes->pdata[i - 1])->ver <=
			    after)
				break;
		for (; i < changes->len; i++) {
			struct change *c = changes->pdata[i];

			if (strcmp(c->table, table))
				continue;
			add_row(r->body, table, c->part, c->key, c->value,
				c->ver);
			n++;
		}
		if (n || now_ms() >= until)
			break;
		clock_gettime(CLOCK_REALTIME, &t);
		t.tv_nsec += 20000000;
		if (t.tv_nsec >= 1000000000) {
			t.tv_sec++;
			t.tv_nsec -= 1000000000;
		}
		pthread_cond_timedwait(&store_changed, &store_lock, &t);
	}
	g_string_append_printf(r->body,
			       "],\"ver\":%" PRId64 ",\"nowMs\":%" PRId64 "}",
			       ver, now_ms());
	pthread_mutex_unlock(&store_lock);
	g_free(table);
	g_free(after_text);
	g_free(wait);
}

static bool value_fits(const char *base64)
{
	gsize n = 0;
	guchar *bytes = g_base64_decode(base64, &n);

	g_free(bytes);
	if ((int64_t)n > store_largest_value)
		store_largest_value = (int64_t)n;
	return n <= ROW_BYTES;
}

static void rows_tx(const char *body, struct reply *r)
{
	struct json_object *o = json_tokener_parse(body);
	struct json_object *when = list(o, "expectedRevision");
	struct json_object *puts = list(o, "puts");
	struct json_object *removes = list(o, "remove");
	bool conflict = false;
	const char *why = NULL;
	size_t i;

	if (length(when) + length(puts) + length(removes) > 100)
		why = "over 100 entries";
	else if (strlen(body) > TX_BYTES)
		why = "over 1 MB";
	pthread_mutex_lock(&store_lock);
	for (i = 0; i < length(puts) && !why; i++) {
		struct json_object *e = json_object_array_get_idx(puts, i);

		if (!value_fits(str(e, "value")))
			why = str(e, "key");
	}
	if (why) {
		if (!store_refused++)
			note("the store refuses a transaction with status 400: "
			     "%s, largest value %" PRId64 " bytes, %zu bytes "
			     "in all",
			     why, store_largest_value, strlen(body));
		r->status = 400;
		g_string_append(r->body, "{}");
		pthread_mutex_unlock(&store_lock);
		json_object_put(o);
		return;
	}
	g_string_append(r->body, "{\"rows\":[");
	for (i = 0; i < length(when); i++) {
		struct json_object *e = json_object_array_get_idx(when, i);
		struct row *w = g_tree_lookup(
			part_of(str(e, "table"), str(e, "part")),
			str(e, "key"));
		int64_t v = w && w->value ? w->ver : 0;

		conflict = conflict || v != num(e, "ver");
	}
	for (i = 0; conflict && i < length(when); i++) {
		struct json_object *e = json_object_array_get_idx(when, i);
		struct row *w = g_tree_lookup(
			part_of(str(e, "table"), str(e, "part")),
			str(e, "key"));

		if (w && w->value)
			add_row(r->body, str(e, "table"), str(e, "part"),
				str(e, "key"), w->value, w->ver);
	}
	if (!conflict) {
		ver++;
		for (i = 0; i < length(puts); i++) {
			struct json_object *e =
				json_object_array_get_idx(puts, i);

			put_row(str(e, "table"), str(e, "part"), str(e, "key"),
				str(e, "value"));
		}
		for (i = 0; i < length(removes); i++) {
			struct json_object *e =
				json_object_array_get_idx(removes, i);

			put_row(str(e, "table"), str(e, "part"), str(e, "key"),
				NULL);
		}
		pthread_cond_broadcast(&store_changed);
	} else {
		r->status = 412;
	}
	g_string_append_printf(r->body,
			       "],\"ver\":%" PRId64 ",\"nowMs\":%" PRId64 "}",
			       ver, now_ms());
	pthread_mutex_unlock(&store_lock);
	json_object_put(o);
}

const char *store_lose_table;
int store_lose;

static void *perform_late(void *arg)
{
	struct reply r = {200, g_string_new(NULL)};

	usleep((useconds_t)g_random_int_range(1000, 6000) * 1000);
	rows_tx(arg, &r);
	note("a transaction without an answer is performed late: %d", r.status);
	g_string_free(r.body, TRUE);
	g_free(arg);
	return NULL;
}

/* Whether the answer to a transaction is to be lost. */
static bool lose_answer(const char *body)
{
	struct json_object *o = json_tokener_parse(body);
	struct json_object *puts = list(o, "puts");
	bool lose = false;

	pthread_mutex_lock(&store_lock);
	if (store_lose && length(puts) &&
	    !strcmp(str(json_object_array_get_idx(puts, 0), "table"),
		    store_lose_table)) {
		store_lose--;
		lose = true;
	}
	pthread_mutex_unlock(&store_lock);
	json_object_put(o);
	return lose;
}

void store_handler(void *arg, const char *method, const char *path,
		   const char *head, const char *body, struct reply *r)
{
	(void)arg;
	(void)method;
	(void)head;
	usleep(STORE_ANSWER_US);
	if (g_str_has_prefix(path, WIRE_GET "?")) {
		rows_get(path, r);
	} else if (g_str_has_prefix(path, WIRE_FEED "?")) {
		rows_feed(path, r);
	} else if (!strcmp(path, WIRE_TX) && lose_answer(body)) {
		note("the store gives no answer to a transaction");
		start_thread(perform_late, g_strdup(body));
		r->status = 0;
	} else if (!strcmp(path, WIRE_TX)) {
		rows_tx(body, r);
	} else {
		r->status = 404;
		g_string_append(r->body, "{}");
	}
}

/* ---- Minions ---- */

struct job {
	int64_t cpu;
	int64_t work_ms;
};

static pthread_mutex_t minion_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t minion_changed = PTHREAD_COND_INITIALIZER;
static GHashTable *jobs;
struct minion minion[MINIONS_MAX];
int minions;
void (*on_task)(struct minion *m, const char *name, int64_t run,
		const char *what);
void (*on_ack)(struct minion *m, const char *name, int64_t run);
double late_share;
int64_t late_orders;
void (*on_spec)(struct minion *m, const char *task, struct json_object *spec);

struct end {
	int64_t number;
	char name[64];
	int64_t run;
	const char *how;
};

void job_describe(const char *id, int64_t cpu, int64_t work_ms)
{
	struct job *j = g_new0(struct job, 1);

	*j = (struct job){cpu, work_ms};
	pthread_mutex_lock(&minion_lock);
	g_hash_table_replace(jobs, g_strdup(id), j);
	pthread_mutex_unlock(&minion_lock);
}

static const struct job *job_of(const char *task)
{
	static const struct job other = {1000, 100};
	char id[17];
	const struct job *j;

	snprintf(id, sizeof(id), "%.16s", task);
	j = g_hash_table_lookup(jobs, id);
	return j ? j : &other;
}

static int64_t clock_ms(const struct minion *m)
{
	return now_ms() - m->clock_base;
}

struct minion *minion_add(const char *service, const char *zone,
			  const char *label, int64_t cpu, int64_t mem)
{
	struct minion *m = &minion[minions];

	snprintf(m->id, sizeof(m->id), "i-%08x", 0x1000 + minions * 77);
	snprintf(m->machine, sizeof(m->machine), "m-%04x", 0x100 + minions);
	snprintf(m->service, sizeof(m->service), "%s", service);
	snprintf(m->zone, sizeof(m->zone), "%s", zone);
	snprintf(m->label, sizeof(m->label), "%s", label);
	m->cpu = cpu;
	m->mem = mem;
	m->born = unix_ms();
	m->clock_base = now_ms() - 100000;
	m->tasks = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	m->highest =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m->finished = g_ptr_array_new_with_free_func(g_free);
	minions++;
	return m;
}

static int64_t cpu_used(struct minion *m)
{
	int64_t sum = 0;
	GHashTableIter i;
	struct task *t;

	g_hash_table_iter_init(&i, m->tasks);
	while (g_hash_table_iter_next(&i, NULL, (gpointer *)&t))
		sum += t->cpu;
	return sum;
}

/* Adds the end of @t, which the caller removes. */
static void end_task(struct minion *m, struct task *t, const char *how)
{
	struct end *e = g_new0(struct end, 1);

	e->number = ++m->ends;
	snprintf(e->name, sizeof(e->name), "%s", t->name);
	e->run = t->run;
	e->how = how;
	g_ptr_array_add(m->finished, e);
	if (on_task)
		on_task(m, t->name, t->run, how);
	pthread_cond_broadcast(&minion_changed);
}

static int64_t highest_run(struct minion *m, const char *name)
{
	int64_t *n = g_hash_table_lookup(m->highest, name);

	return n ? *n : 0;
}

static void run_start(struct minion *m, struct json_object *o, struct reply *r)
{
	const char *name = str(o, "task");
	const struct job *j = job_of(name);
	int64_t run = num(o, "run");
	int64_t expires = num(o, WIRE_EXPIRES);
	struct task *t = g_hash_table_lookup(m->tasks, name);
	const char *refused = NULL;
	int64_t now = clock_ms(m);

	if (num(o, WIRE_FENCE) < m->fence)
		refused = "fence";
	else if (t && t->run == run)
		;
	else if (t || run <= highest_run(m, name))
		refused = "old";
	else if (expires <= now)
		refused = "late";
	else if (cpu_used(m) + j->cpu > m->cpu)
		refused = "room";
	if (!refused || strcmp(refused, "fence"))
		m->fence = MAX(m->fence, num(o, WIRE_FENCE));
	if (!refused || !strcmp(refused, "old") || !strcmp(refused, "room"))
		m->lease = MAX(m->lease, MIN(expires, now + MAX_HOLD_MS));
	if (!refused && !t) {
		int64_t *n = g_new(int64_t, 1);

		t = g_new0(struct task, 1);
		snprintf(t->name, sizeof(t->name), "%s", name);
		t->run = run;
		t->end_at = now_ms() + j->work_ms;
		t->fails = m->grey;
		t->cpu = j->cpu;
		g_hash_table_replace(m->tasks, t->name, t);
		*n = run;
		g_hash_table_replace(m->highest, g_strdup(name), n);
		m->starts++;
		if (on_spec) {
			struct json_object *given = NULL;

			json_object_object_get_ex(o, "spec", &given);
			on_spec(m, name, given);
		}
		if (on_task)
			on_task(m, name, run, "start");
	}
	if (refused)
		r->status = 409;
	g_string_append_printf(r->body, "{\"clockMs\":%" PRId64 "%s%s%s}", now,
			       refused ? ",\"reason\":\"" : "",
			       refused ? refused : "", refused ? "\"" : "");
}

static void run_stop(struct minion *m, struct json_object *o, struct reply *r)
{
	const char *name = str(o, "task");
	int64_t run = num(o, "run");
	struct task *t = g_hash_table_lookup(m->tasks, name);
	int64_t *n;

	if (num(o, WIRE_FENCE) < m->fence) {
		r->status = 409;
		g_string_append_printf(r->body,
				       "{\"clockMs\":%" PRId64
				       ",\"reason\":\"fence\"}",
				       clock_ms(m));
		return;
	}
	m->fence = num(o, WIRE_FENCE);
	if (run > highest_run(m, name)) {
		n = g_new(int64_t, 1);
		*n = run;
		g_hash_table_replace(m->highest, g_strdup(name), n);
	}
	if (t && t->run <= run) {
		end_task(m, t, "stopped");
		g_hash_table_remove(m->tasks, name);
	}
	g_string_append_printf(r->body, "{\"clockMs\":%" PRId64 "}",
			       clock_ms(m));
}

static void list_all(struct minion *m, struct reply *r)
{
	GHashTableIter it;
	struct task *t;
	bool first = true;
	guint i;

	g_string_append_printf(r->body,
			       "{\"clockMs\":%" PRId64 ",\"born\":%" PRId64
			       ",\"running\":[",
			       clock_ms(m), m->born);
	g_hash_table_iter_init(&it, m->tasks);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&t)) {
		g_string_append_printf(r->body,
				       "%s[\"%s\",%" PRId64 ",\"\",50,0]",
				       first ? "" : ",", t->name, t->run);
		first = false;
	}
	g_string_append(r->body, "],\"finished\":[");
	for (i = 0; i < m->finished->len && i < LISTED_ENDS_MAX; i++) {
		struct end *e = m->finished->pdata[i];

		g_string_append_printf(r->body,
				       "%s[%" PRId64 ",\"%s\",%" PRId64
				       ",\"%s\",\"\"]",
				       i ? "," : "", e->number, e->name, e->run,
				       e->how);
	}
	g_string_append(r->body, "]}");
}

static void hold(struct minion *m, struct json_object *o, struct reply *r)
{
	int64_t until = now_ms() + MIN(num(o, "waitMs"), 2000);
	int64_t born = m->born;
	int64_t expires = num(o, WIRE_EXPIRES);
	int64_t acked = num(o, WIRE_ACKED);
	guint drop = 0;

	if (num(o, WIRE_FENCE) < m->fence) {
		r->status = 409;
		g_string_append_printf(r->body,
				       "{\"clockMs\":%" PRId64
				       ",\"reason\":\"fence\"}",
				       clock_ms(m));
		return;
	}
	m->fence = num(o, WIRE_FENCE);
	if (expires)
		m->lease = MAX(m->lease,
			       MIN(expires, clock_ms(m) + MAX_HOLD_MS));
	for (; drop < m->finished->len; drop++) {
		struct end *e = m->finished->pdata[drop];

		if (e->number > acked)
			break;
		if (on_ack && !strcmp(e->how, "done"))
			on_ack(m, e->name, e->run);
	}
	if (drop)
		g_ptr_array_remove_range(m->finished, 0, drop);
	if (acked > m->acked)
		m->acked = acked;
	while (!m->finished->len && now_ms() < until && !m->cut && !m->down &&
	       m->born == born) {
		struct timespec t;

		clock_gettime(CLOCK_REALTIME, &t);
		t.tv_nsec += 10000000;
		if (t.tv_nsec >= 1000000000) {
			t.tv_sec++;
			t.tv_nsec -= 1000000000;
		}
		pthread_cond_timedwait(&minion_changed, &minion_lock, &t);
	}
	list_all(m, r);
}

struct late_order {
	struct minion *m;
	bool start;
	char *body;
};

static void *carry_out_late(void *arg)
{
	struct late_order *l = arg;
	struct reply r = {200, g_string_new(NULL)};
	struct json_object *o = json_tokener_parse(l->body);

	usleep((useconds_t)g_random_int_range(2000, 12000) * 1000);
	pthread_mutex_lock(&minion_lock);
	if (!l->m->down && l->start)
		run_start(l->m, o, &r);
	else if (!l->m->down)
		run_stop(l->m, o, &r);
	pthread_mutex_unlock(&minion_lock);
	json_object_put(o);
	g_string_free(r.body, TRUE);
	g_free(l->body);
	g_free(l);
	return NULL;
}

static void keep_order(struct minion *m, const char *path, const char *body)
{
	struct late_order *l = g_new0(struct late_order, 1);

	*l = (struct late_order){m, !strcmp(path, WIRE_START),
				 g_strdup(body)};
	late_orders++;
	start_thread(carry_out_late, l);
}

void minion_crash(struct minion *m)
{
	GHashTableIter it;
	struct task *t;

	pthread_mutex_lock(&minion_lock);
	m->down = true;
	g_hash_table_iter_init(&it, m->tasks);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&t)) {
		if (on_task)
			on_task(m, t->name, t->run, "crashed");
		g_hash_table_iter_remove(&it);
	}
	g_hash_table_remove_all(m->highest);
	g_ptr_array_set_size(m->finished, 0);
	pthread_cond_broadcast(&minion_changed);
	pthread_mutex_unlock(&minion_lock);
}

static void heartbeat(struct minion *m);

void minion_restart(struct minion *m)
{
	pthread_mutex_lock(&minion_lock);
	m->fence = 0;
	m->lease = 0;
	m->ends = 0;
	m->acked = 0;
	m->sequence = 0;
	m->born = unix_ms();
	m->clock_base = now_ms();
	m->down = false;
	pthread_mutex_unlock(&minion_lock);
	heartbeat(m);
}

static void minion_handler(void *arg, const char *method, const char *path,
			   const char *head, const char *body, struct reply *r)
{
	struct minion *m = arg;
	struct json_object *o = json_tokener_parse(body);
	int64_t born;
	const char *expect = strcasestr(head, "\r\n" WIRE_EXPECT);

	(void)method;
	pthread_mutex_lock(&minion_lock);
	born = m->born;
	if (m->cut || m->down) {
		r->status = 0;
	} else if (expect && strncmp(g_strchug((char *)expect + 30), m->id,
				     strlen(m->id))) {
		r->status = 421;
		g_string_append(r->body, "{}");
	} else if (!o) {
		r->status = 400;
		g_string_append(r->body, "{}");
	} else if (strcmp(path, "/hold") && g_random_double() < late_share) {
		keep_order(m, path, body);
		r->status = 0;
	} else if (!strcmp(path, WIRE_START)) {
		run_start(m, o, r);
	} else if (!strcmp(path, WIRE_STOP)) {
		run_stop(m, o, r);
	} else if (!strcmp(path, "/hold")) {
		hold(m, o, r);
	} else {
		r->status = 404;
		g_string_append(r->body, "{}");
	}
	/* An answer that was under way as the cut began is lost, and one of a
	 * process that has ended. */
	if (m->cut || m->down || m->born != born)
		r->status = 0;
	pthread_mutex_unlock(&minion_lock);
	json_object_put(o);
}

static void tick(struct minion *m)
{
	int64_t now = now_ms();
	bool lapsed = clock_ms(m) > m->lease;
	GHashTableIter it;
	struct task *t;

	g_hash_table_iter_init(&it, m->tasks);
	while (g_hash_table_iter_next(&it, NULL, (gpointer *)&t)) {
		if (!lapsed && now < t->end_at)
			continue;
		end_task(m, t,
			 now >= t->end_at ? (t->fails ? "failed" : "done") :
					    "lapsed");
		g_hash_table_iter_remove(&it);
	}
}

static void *tick_loop(void *arg)
{
	int i;

	(void)arg;
	for (;;) {
		pthread_mutex_lock(&minion_lock);
		for (i = 0; i < minions; i++)
			tick(&minion[i]);
		pthread_mutex_unlock(&minion_lock);
		usleep(10000);
	}
	return NULL;
}

static void heartbeat(struct minion *m)
{
	char *text;

	pthread_mutex_lock(&minion_lock);
	text = g_strdup_printf(
		"{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":"
		"\"%s\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
		"\"coldRemainingMs\":0,\"machine\":\"%s\",\"capacity\":"
		"{\"cpu\":%" PRId64 ",\"memMb\":%" PRId64 ",\"gpu\":0},"
		"\"labels\":[\"a\",\"%s\"],\"clockMs\":%" PRId64
		",\"sequence\":%" PRId64 ",\"born\":%" PRId64 "}",
		m->service, m->port, m->zone, m->machine, m->cpu, m->mem,
		m->label, clock_ms(m), ++m->sequence, m->born);
	pthread_mutex_unlock(&minion_lock);
	store_put("servers", "", m->id, text);
	g_free(text);
}

static void *heartbeat_loop(void *arg)
{
	int i;

	(void)arg;
	for (;;) {
		for (i = 0; i < minions; i++)
			if (!minion[i].down)
				heartbeat(&minion[i]);
		usleep(HEARTBEAT_MS * 1000);
	}
	return NULL;
}

void minions_start(void)
{
	int i;

	for (i = 0; i < minions; i++)
		minion[i].port = http_listen(0, minion_handler, &minion[i]);
	start_thread(tick_loop, NULL);
	start_thread(heartbeat_loop, NULL);
}

int64_t minions_running(const char *prefix)
{
	int64_t n = 0;
	GHashTableIter it;
	struct task *t;
	int i;

	pthread_mutex_lock(&minion_lock);
	for (i = 0; i < minions; i++) {
		g_hash_table_iter_init(&it, minion[i].tasks);
		while (g_hash_table_iter_next(&it, NULL, (gpointer *)&t))
			n += g_str_has_prefix(t->name, prefix);
	}
	pthread_mutex_unlock(&minion_lock);
	return n;
}

/* ---- Machines ---- */

static void cloud_handler(void *arg, const char *method, const char *path,
			  const char *head, const char *body, struct reply *r)
{
	int i;

	(void)arg;
	(void)head;
	(void)body;
	if (strcmp(method, "GET") || !g_str_has_prefix(path, "/machines")) {
		/* All machines are of one pool, and there is no wave. */
		r->status = 400;
		g_string_append(r->body, "{}");
		return;
	}
	g_string_append(r->body, "{\"machines\":[");
	for (i = 0; i < minions; i++)
		g_string_append_printf(
			r->body,
			"%s{\"machine\":\"%s\",\"pool\":\"%s\",\"state\":"
			"\"%s\",\"zone\":\"%s\",\"labels\":[\"a\",\"%s\"],"
			"\"capacity\":{\"cpu\":%" PRId64 ",\"memMb\":%" PRId64
			",\"gpu\":0},\"id\":\"%s\"}",
			i ? "," : "", minion[i].machine, minion[i].service,
			minion[i].down ? "down" : "up", minion[i].zone,
			minion[i].label, minion[i].cpu, minion[i].mem,
			minion[i].down ? "" : minion[i].id);
	g_string_append(r->body, "],\"nextToken\":null}");
}

/* ---- The daemon ---- */

struct node node[NODES_MAX];
int nodes;

struct node *node_add(const char *zone)
{
	struct node *n = &node[nodes];

	snprintf(n->name, sizeof(n->name), "frontend-%s-%d", zone, nodes + 1);
	snprintf(n->zone, sizeof(n->zone), "%s", zone);
	n->front = free_port();
	n->ready = free_port();
	n->control = free_port();
	n->store = http_listen(0, store_handler, n);
	n->cloud = http_listen(0, cloud_handler, n);
	nodes++;
	return n;
}

/* The settings that deploy/node.json.tmpl makes of the site's fields. */
static void write_settings(const struct node *n, const char *file)
{
	FILE *f = fopen(file, "w");
	int i;

	fprintf(f,
		"{\n\"node\": \"%s\",\n\"data_centre\": \"%s\",\n"
		"\"listen\": \"127.0.0.1:%d\",\n\"ready\": \"127.0.0.1:%d\",\n"
		"\"control\": \"127.0.0.1:%d\",\n\"seeds\": \"",
		n->name, n->zone, n->front, n->ready, n->control);
	for (i = 0; i < nodes && i < 3; i++)
		fprintf(f, "%s127.0.0.1:%d", i ? "," : "", node[i].control);
	fprintf(f,
		"\",\n\"store\": \"127.0.0.1:%d\",\n\"vm_service\": "
		"\"127.0.0.1:%d\",\n\"grace_ms\": %d,\n\"lease_max_ms\": %d,\n"
		"\"vm_lease_ms\": 3000,\n\"vm_orders_per_s\": 64,\n"
		"\"cpu_share\": 0.25,\n\"cores\": 1,\n\"memory_mb\": 260,\n"
		"\"descriptors\": 4100\n}\n",
		n->store, n->cloud, GRACE_S * 1000, MAX_HOLD_MS);
	fclose(f);
}

void node_start(struct node *n)
{
	char settings[300];
	char log[300];
	pid_t parent = getpid();

	snprintf(settings, sizeof(settings), "%s/%s.json", work_dir, n->name);
	snprintf(log, sizeof(log), "%s/%s.log", work_dir, n->name);
	write_settings(n, settings);
	n->pid = fork();
	if (!n->pid) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() != parent)
			_exit(2);
		dup2(fd, 1);
		dup2(fd, 2);
		setenv("MONSOONSEAM_NODE_FILE", settings, 1);
		execl(daemon_path, daemon_path, "--platform", NULL);
		_exit(127);
	}
	note("started %s, process %d", n->name, (int)n->pid);
}

void node_kill(struct node *n, int sig)
{
	int status;

	if (!n->pid)
		return;
	note("signal %d to %s", sig, n->name);
	kill(n->pid, sig);
	if (sig == SIGKILL) {
		waitpid(n->pid, &status, 0);
		n->pid = 0;
	}
}

void nodes_stop(void)
{
	int i;

	for (i = 0; i < nodes; i++)
		if (node[i].pid) {
			kill(node[i].pid, SIGKILL);
			waitpid(node[i].pid, NULL, 0);
			node[i].pid = 0;
		}
}

int owner_index(void)
{
	char *text = store_get("lead", "", "owner");
	int i;

	for (i = 0; text && i < nodes; i++)
		if (strstr(text, node[i].name))
			break;
	g_free(text);
	return text && i < nodes ? i : -1;
}

bool wait_for_owner(int timeout_ms)
{
	int64_t until = now_ms() + timeout_ms;

	while (now_ms() < until) {
		if (owner_index() >= 0)
			return true;
		usleep(20000);
	}
	return false;
}

/* ---- Requesters ---- */

static char *call_head(const char *key)
{
	return g_strdup_printf("Host: h1.example\r\nAuthorization: Token %s\r\n"
			       "Content-Type: application/json\r\n"
			       WIRE_DEADLINE "3000\r\n",
			       key);
}

int job_post(struct node *n, const char *id, const char *key, const char *body)
{
	char *head = call_head(key);
	char *path = g_strdup_printf("/q1/%s", id);
	int status = http_call(n->front, "POST", path, head, body, 4000, NULL);

	g_free(head);
	g_free(path);
	return status;
}

int job_state(struct node *n, const char *id, const char *key, char *state,
	      size_t size)
{
	char *head = call_head(key);
	char *path = g_strdup_printf("/q1/%s", id);
	char *text = NULL;
	int status = http_call(n->front, "GET", path, head, NULL, 4000, &text);
	struct json_object *o = text ? json_tokener_parse(text) : NULL;

	snprintf(state, size, "%s", o ? str(o, "state") : "");
	json_object_put(o);
	g_free(text);
	g_free(head);
	g_free(path);
	return status;
}

/* ---- World ---- */

void world_config(const char *json)
{
	store_put("op", "", "config", json);
}

/* A case may take 120 s. */
static void *watchdog(void *arg)
{
	(void)arg;
	sleep(115);
	note("the case takes too long");
	exit(world_close(2));
}

void world_open(const char *dir, const char *daemon, const char *file)
{
	record = fopen(file, "w");
	began = now_ms();
	snprintf(work_dir, sizeof(work_dir), "%s", dir);
	snprintf(daemon_path, sizeof(daemon_path), "%s", daemon);
	signal(SIGPIPE, SIG_IGN);
	jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	store_init();
	start_thread(watchdog, NULL);
	note("%s", trouble ? "with the disruption" : "without the disruption");
}

int world_close(int rc)
{
	nodes_stop();
	note("%s", rc == 0 ? "the rule held" :
		   rc == 1 ? "the rule was broken" :
			     "the case could not run");
	fflush(record);
	return rc;
}
