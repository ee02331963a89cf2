/* VMs: their list, moves and maintenance; counts for other nodes. */
#include "process/board_impl.h"
#include "base/json.h"
#include "base/log.h"
#include "base/outage.h"

#include <stdlib.h>
#include <string.h>

#define PERIOD_USEC 300000
#define LIST_CALL (1500 * SEAM_MSEC)

static int read_vms(struct seam_board *b, struct seam_err *e)
{
	struct seam_vm_info *vm;
	size_t n;

	if (b->ports->vms->ops->list(b->ports->vms, &vm, &n,
				     seam_now(b->clock) + LIST_CALL, e))
		return -1;
	pthread_mutex_lock(&b->lock);
	free(b->vm);
	b->vm = vm;
	b->vms = n;
	b->vms_read = true;
	pthread_mutex_unlock(&b->lock);
	return 0;
}

/* Jobs of each queue of which no task has been started. */
static char *pending_text(struct seam_board *b)
{
	struct json_object *o = json_object_new_object();
	struct seam_handle h = SEAM_NONE;
	struct seam_job *j;
	char *text;

	pthread_mutex_lock(&b->lock);
	while ((j = seam_table_next(b->jobs, &h))) {
		const char *q = j->row.spec.queue;

		if (!j->begun && !seam_job_over(j->row.state))
			seam_json_add_int(o, q, seam_json_int(o, q, 0) + 1);
	}
	pthread_mutex_unlock(&b->lock);
	text = strdup(
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
	return text;
}

/* Writes the counts if they changed; takes @text, returns what is written. */
static char *publish(struct seam_board *b, char *last, char *text)
{
	struct seam_write w[] = {
		{SEAM_PUT, SEAM_PENDING_ROW, SEAM_ANY_VERSION, text,
		 text ? strlen(text) : 0},
		{SEAM_CHECK, SEAM_LEAD_ROW, b->lead->owner_version, NULL, 0},
	};
	struct seam_commit c = {w, 2, seam_store_token(), 0};
	struct seam_err e = SEAM_ERR_INIT;

	if (!text || (last && !strcmp(last, text)) ||
	    seam_store_commit(b->ports->store, &c,
			      seam_now(b->clock) + STORE_CALL, &e)) {
		free(text);
		return last;
	}
	free(last);
	return text;
}

void *board_vms_loop(void *arg)
{
	struct seam_board *b = arg;
	struct seam_outage outage = {.part = "vms", .what = "VM list"};
	char *published = NULL;

	while (!__atomic_load_n(&b->stop, __ATOMIC_ACQUIRE)) {
		struct seam_err e = SEAM_ERR_INIT;
		int rc = read_vms(b, &e);

		seam_outage_note(&outage, rc ? &e : NULL, seam_now(b->clock));
		if (!rc)
			board_manage_vms(b);
		if (seam_lead_valid(b->lead, seam_now(b->clock)))
			published = publish(b, published, pending_text(b));
		g_usleep(PERIOD_USEC);
	}
	free(published);
	return NULL;
}
