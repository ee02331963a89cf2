#include "process/task_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROWS_MAX 16 /* per page: all buckets of a team and queue */

/* The page continues after this task. Teams and tasks are sorted by name. */
struct position {
	char team[64];
	int bucket;
	char task[24];
};

struct page {
	const struct seam_task_list_query *query;
	struct json_object *tasks;
	struct position at;
	int rows;
	bool more;
};

static int parse_token(const char *after, struct position *p,
		       struct seam_err *e)
{
	int used = 0;

	if (sscanf(after, "%63[A-Za-z0-9._-]~%d~%23[0-9a-f]%n", p->team,
		   &p->bucket, p->task, &used) != 3 ||
	    after[used] || p->bucket < 0 || p->bucket >= SEAM_BUCKETS)
		return seam_fail(e, SEAM_BAD_REQUEST,
				 "after: not from an earlier page");
	return 0;
}

static int compare_ids(const void *a, const void *b)
{
	const struct seam_task *x = *(struct seam_task *const *)a;
	const struct seam_task *y = *(struct seam_task *const *)b;

	return strcmp(x->id, y->id);
}

static void add_task(struct page *p, struct seam_bucket *b, struct seam_task *t)
{
	struct json_object *o = seam_task_json(t, false);
	char id[SEAM_TASK_ID_SIZE];

	seam_task_full_id(b, t, id);
	json_object_object_add(o, "id", json_object_new_string(id));
	json_object_array_add(p->tasks, o);
}

/* Sets @p->at to the last task added. */
static void add_bucket(struct page *p, struct seam_bucket *b)
{
	struct seam_task *matches[SEAM_BUCKET_TASKS_MAX];
	struct seam_handle h = SEAM_HANDLE_NONE;
	struct seam_task *t;
	int n = 0;
	int i;

	while (n < SEAM_BUCKET_TASKS_MAX && (t = seam_task_next(b->table, &h)))
		if ((p->query->state < 0 || t->state == p->query->state) &&
		    strcmp(t->id, p->at.task) > 0)
			matches[n++] = t;
	qsort(matches, (size_t)n, sizeof(void *), compare_ids);
	for (i = 0; i < n; i++) {
		if ((int)json_object_array_length(p->tasks) >=
		    p->query->limit) {
			p->more = true;
			return;
		}
		add_task(p, b, matches[i]);
		g_strlcpy(p->at.task, matches[i]->id, sizeof(p->at.task));
	}
}

static int list_bucket(struct seam_tasks *ts, struct page *p,
		       seam_time deadline, struct seam_err *e)
{
	char key[SEAM_KEY_MAX];
	struct seam_bucket *b;
	int rc;

	snprintf(key, sizeof(key), "queue/%s/%s/%d", p->at.team,
		 p->query->queue, p->at.bucket);
	b = seam_bucket_new(ts, key);
	if (!b)
		return seam_fail(e, SEAM_NO_MEMORY, NULL);
	p->rows++;
	rc = seam_bucket_fetch(b, deadline, e);
	if (!rc)
		add_bucket(p, b);
	seam_bucket_free(b);
	return rc;
}

/* "0" sorts before every task id and keeps the token complete. */
static void move_to_bucket(struct page *p, int nr)
{
	p->at.bucket = nr;
	strcpy(p->at.task, "0");
}

static int list_team(struct seam_tasks *ts, struct page *p, seam_time deadline,
		     struct seam_err *e)
{
	for (;;) {
		if (p->rows == ROWS_MAX) {
			p->more = true;
			return 0;
		}
		if (list_bucket(ts, p, deadline, e))
			return -1;
		if (p->more || p->at.bucket == SEAM_BUCKETS - 1)
			return 0;
		move_to_bucket(p, p->at.bucket + 1);
	}
}

static int list_teams(struct seam_tasks *ts, struct page *p, seam_time deadline,
		      struct seam_err *e)
{
	size_t i;

	for (i = 0; i < p->query->n_teams && !p->more; i++) {
		int c = strcmp(p->query->teams[i], p->at.team);

		if (c < 0)
			continue;
		if (c > 0) {
			g_strlcpy(p->at.team, p->query->teams[i], 64);
			move_to_bucket(p, 0);
		}
		if (list_team(ts, p, deadline, e))
			return -1;
	}
	return 0;
}

struct json_object *seam_tasks_list(struct seam_tasks *ts,
				    const struct seam_task_list_query *query,
				    seam_time deadline, struct seam_err *e)
{
	struct page p = {.query = query};
	struct json_object *o;
	char next[SEAM_TASK_ID_SIZE];

	if (*query->after && parse_token(query->after, &p.at, e))
		return NULL;
	p.tasks = json_object_new_array();
	if (list_teams(ts, &p, deadline, e)) {
		json_object_put(p.tasks);
		return NULL;
	}
	o = json_object_new_object();
	json_object_object_add(o, "tasks", p.tasks);
	if (p.more) {
		snprintf(next, sizeof(next), "%s~%d~%s", p.at.team, p.at.bucket,
			 p.at.task);
		json_object_object_add(o, "next", json_object_new_string(next));
	}
	return o;
}
