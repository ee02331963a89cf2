/*
 * Maintenance waves: the current wave, the VMs it has maintained, and the
 * status for operators.
 */
#include "process/scheduler_impl.h"
#include "base/json.h"
#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Rows with the VMs that a wave has maintained. */
#define WAVE_ROWS "wave/"

/* States published to operators; see wave_reported. */
enum { REPORTED_RUNNING = 1, REPORTED_COMPLETED };

static void wave_key(int64_t number, char key[SEAM_KEY_MAX])
{
	snprintf(key, SEAM_KEY_MAX, WAVE_ROWS "%lld", (long long)number);
}

/*
 * Returns the wave with the lowest number that is not completed; free @w->vm.
 */
bool scheduler_wave_read(struct seam_scheduler *sched, struct seam_wave *w)
{
	char(*vms)[SEAM_NAME_SIZE] = NULL;
	struct seam_wave next;
	unsigned i;

	memset(w, 0, sizeof(*w));
	for (i = 0; seam_op_state_wave(sched->op_state, i, &next); i++) {
		if (next.number <= sched->wave_completed ||
		    (vms && next.number > w->number)) {
			free(next.vm);
			continue;
		}
		free(vms);
		vms = next.vm;
		*w = next;
	}
	return vms != NULL;
}

bool scheduler_wave_due(const struct seam_scheduler *sched,
			const struct seam_wave *w, const char *vm)
{
	size_t i;

	for (i = 0; i < w->vms; i++)
		if (!strcmp(w->vm[i], vm))
			return !g_hash_table_contains(sched->wave_done, vm);
	return false;
}

/* VMs maintained by the previous wave do not count for this one. */
static void begin_wave(struct seam_scheduler *sched, int64_t number)
{
	pthread_mutex_lock(&sched->lock);
	g_hash_table_remove_all(sched->wave_done);
	sched->wave_saved = 0;
	sched->wave_loaded = number;
	pthread_mutex_unlock(&sched->lock);
}

/* Loads the VMs that previous owners maintained for the wave. */
void scheduler_wave_load(struct seam_scheduler *sched,
			 const struct seam_wave *w)
{
	struct json_object *o;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_row row;
	char key[SEAM_KEY_MAX];
	char **names;
	size_t i;

	wave_key(w->number, key);
	if (seam_store_get(sched->ports->store, key, &row,
			   seam_now(sched->clock) + STORE_TIMEOUT, &e)) {
		if (e.kind == SEAM_NOT_FOUND)
			begin_wave(sched, w->number);
		return;
	}
	o = json_tokener_parse(row.data);
	names = scheduler_parse_vm_names(seam_json_member(o, "done"), key);
	begin_wave(sched, w->number);
	pthread_mutex_lock(&sched->lock);
	for (i = 0; names[i]; i++)
		g_hash_table_add(sched->wave_done, g_strdup(names[i]));
	pthread_mutex_unlock(&sched->lock);
	g_strfreev(names);
	json_object_put(o);
	seam_row_free(&row);
}

/* Saves the maintained VMs for the next owner. */
void scheduler_wave_save(struct seam_scheduler *sched)
{
	struct json_object *list = json_object_new_array();
	struct json_object *o = json_object_new_object();
	char key[SEAM_KEY_MAX];
	GHashTableIter it;
	gpointer vm;
	guint n;

	pthread_mutex_lock(&sched->lock);
	n = g_hash_table_size(sched->wave_done);
	g_hash_table_iter_init(&it, sched->wave_done);
	while (g_hash_table_iter_next(&it, &vm, NULL))
		json_object_array_add(list, json_object_new_string(vm));
	pthread_mutex_unlock(&sched->lock);
	json_object_object_add(o, "done", list);
	wave_key(sched->wave_loaded, key);
	if (n != sched->wave_saved &&
	    !scheduler_put_row(
		    sched, &sched->wave_row, key,
		    json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN)))
		sched->wave_saved = n;
	json_object_put(o);
}

static void record_report(struct seam_scheduler *sched,
			  const struct seam_wave *w, int state)
{
	sched->wave_number = w->number;
	sched->wave_reported = state;
	if (state != REPORTED_COMPLETED)
		return;
	sched->wave_completed = w->number;
	seam_log(SEAM_INFO, "upkeep",
		 "event=wave_completed wave=%lld left_ms=%lld",
		 (long long)w->number,
		 (long long)(w->deadline - seam_now(sched->clock)) / SEAM_MSEC);
}

void scheduler_wave_report(struct seam_scheduler *sched,
			   const struct seam_wave *w, bool done)
{
	int state = done ? REPORTED_COMPLETED : REPORTED_RUNNING;
	char key[SEAM_KEY_MAX];
	char *text;

	scheduler_wave_save(sched);
	if (sched->wave_number == w->number && sched->wave_reported >= state)
		return;
	snprintf(key, sizeof(key), "%s%lld", sched->ports->wave_status_rows,
		 (long long)w->number);
	text = sched->ports->wave_state(done);
	if (text &&
	    !scheduler_put_row(sched, &sched->wave_status_row, key, text))
		record_report(sched, w, state);
	free(text);
}
