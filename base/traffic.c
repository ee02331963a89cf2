#include "base/traffic.h"
#include "base/metrics.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KINDS_MAX 32 /* the last one counts all further kinds */

SEAM_METRIC(sent_bytes, "seam_sent_bytes_total",
	    "Bytes of calls to other programs.");
SEAM_METRIC(received_bytes, "seam_received_bytes_total",
	    "Bytes of their responses.");

static struct {
	pthread_mutex_t lock;
	struct seam_traffic kind[KINDS_MAX];
	size_t kinds;
} traffic = {.lock = PTHREAD_MUTEX_INITIALIZER};

/* Copies the path without its query, and the value of a leading "table". */
static void copy_name(char *name, const char *path)
{
	size_t n = strcspn(path, "?");
	const char *table = path + n;
	int table_len = 0;

	if (!strncmp(table, "?table=", 7)) {
		table += 7;
		table_len = (int)strcspn(table, "&");
	}
	snprintf(name, SEAM_TRAFFIC_NAME_SIZE, "%.*s%s%.*s", (int)n, path,
		 table_len ? ":" : "", table_len, table);
}

static struct seam_traffic *find_kind(const char *path)
{
	char name[SEAM_TRAFFIC_NAME_SIZE];
	struct seam_traffic *t;
	size_t i;

	copy_name(name, path);
	for (i = 0; i < traffic.kinds; i++)
		if (!strcmp(traffic.kind[i].name, name))
			return &traffic.kind[i];
	if (traffic.kinds == KINDS_MAX)
		return &traffic.kind[KINDS_MAX - 1];
	t = &traffic.kind[traffic.kinds++];
	snprintf(t->name, sizeof(t->name), "%s",
		 traffic.kinds == KINDS_MAX ? "other" : name);
	return t;
}

void seam_traffic_add(const char *path, int64_t sent, int64_t received,
		      seam_time time)
{
	struct seam_traffic *t;

	seam_metric_add(&sent_bytes, sent);
	seam_metric_add(&received_bytes, received);
	pthread_mutex_lock(&traffic.lock);
	t = find_kind(path);
	t->calls++;
	t->sent += sent;
	t->received += received;
	t->time += time;
	pthread_mutex_unlock(&traffic.lock);
}

size_t seam_traffic_take(struct seam_traffic *out, size_t max)
{
	size_t n = 0;
	size_t i;

	pthread_mutex_lock(&traffic.lock);
	for (i = 0; i < traffic.kinds; i++) {
		struct seam_traffic *t = &traffic.kind[i];

		if (t->calls && n < max)
			out[n++] = *t;
		t->calls = t->sent = t->received = t->time = 0;
	}
	pthread_mutex_unlock(&traffic.lock);
	return n;
}

static int compare_bytes(const void *a, const void *b)
{
	const struct seam_traffic *x = a;
	const struct seam_traffic *y = b;
	int64_t m = x->sent + x->received;
	int64_t n = y->sent + y->received;

	return (m < n) - (m > n);
}

void seam_traffic_format(char *text, size_t size, struct seam_traffic *t,
			 size_t n)
{
	size_t len = 0;
	size_t i;

	qsort(t, n, sizeof(*t), compare_bytes);
	*text = '\0';
	for (i = 0; i < n && len < size; i++)
		len += (size_t)snprintf(
			text + len, size - len, "%s%s=%lld/%lld/%lld/%lld",
			i ? " " : "", t[i].name, (long long)t[i].calls,
			(long long)t[i].sent, (long long)t[i].received,
			(long long)t[i].time / SEAM_MSEC);
}
