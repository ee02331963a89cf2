/* Waves: which one is under way, what it has maintained, what operators read.
 */
#include "process/board_impl.h"
#include "base/json.h"
#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WAVE_ROWS "wave/" /* VMs that a wave has maintained */

/* States that operators were told, in struct seam_board. */
enum { TOLD_RUNNING = 1, TOLD_COMPLETED };

static void wave_key(int64_t number, char key[SEAM_KEY_MAX])
{
	snprintf(key, SEAM_KEY_MAX, WAVE_ROWS "%lld", (long long)number);
}

/* The wave with the lowest number that is not completed; free @w->vm. */
bool board_wave_read(struct seam_board *b, struct seam_wave *w)
{
	char(*kept)[SEAM_NAME] = NULL;
	struct seam_wave next;
	unsigned i;

	memset(w, 0, sizeof(*w));
	for (i = 0; seam_op_state_wave(b->op_state, i, &next); i++) {
		if (next.number <= b->wave_completed ||
		    (kept && next.number > w->number)) {
			free(next.vm);
			continue;
		}
		free(kept);
		kept = next.vm;
		*w = next;
	}
	return kept != NULL;
}

bool board_wave_due(const struct seam_board *b, const struct seam_wave *w,
		    const char *vm)
{
	size_t i;

	for (i = 0; i < w->vms; i++)
		if (!strcmp(w->vm[i], vm))
			return !g_hash_table_contains(b->wave_done, vm);
	return false;
}

/* What the wave before has maintained says nothing of this one. */
static void begin_wave(struct seam_board *b, int64_t number)
{
	pthread_mutex_lock(&b->lock);
	g_hash_table_remove_all(b->wave_done);
	b->wave_kept = 0;
	b->wave_loaded = number;
	pthread_mutex_unlock(&b->lock);
}

/* Reads what owners before us have done for the wave. */
void board_wave_load(struct seam_board *b, const struct seam_wave *w)
{
	struct json_object *list = NULL;
	struct json_object *o;
	struct seam_err e = SEAM_ERR_INIT;
	struct seam_row row;
	char key[SEAM_KEY_MAX];
	size_t i;

	wave_key(w->number, key);
	if (seam_store_get(b->ports->store, key, &row,
			   seam_now(b->clock) + STORE_CALL, &e)) {
		if (e.kind == SEAM_NOT_FOUND)
			begin_wave(b, w->number);
		return;
	}
	o = json_tokener_parse(row.data);
	json_object_object_get_ex(o, "done", &list);
	begin_wave(b, w->number);
	pthread_mutex_lock(&b->lock);
	for (i = 0; list && i < json_object_array_length(list); i++)
		g_hash_table_add(b->wave_done,
				 g_strdup(json_object_get_string(
					 json_object_array_get_idx(list, i))));
	pthread_mutex_unlock(&b->lock);
	json_object_put(o);
	seam_row_free(&row);
}

/* Keeps the VMs that were maintained, for the next owner. */
void board_wave_keep(struct seam_board *b)
{
	struct json_object *list = json_object_new_array();
	struct json_object *o = json_object_new_object();
	char key[SEAM_KEY_MAX];
	GHashTableIter it;
	gpointer vm;
	guint n;

	pthread_mutex_lock(&b->lock);
	n = g_hash_table_size(b->wave_done);
	g_hash_table_iter_init(&it, b->wave_done);
	while (g_hash_table_iter_next(&it, &vm, NULL))
		json_object_array_add(list, json_object_new_string(vm));
	pthread_mutex_unlock(&b->lock);
	json_object_object_add(o, "done", list);
	wave_key(b->wave_loaded, key);
	if (n != b->wave_kept &&
	    !board_put_row(
		    b, key,
		    json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN)))
		b->wave_kept = n;
	json_object_put(o);
}

static void told(struct seam_board *b, const struct seam_wave *w, int state)
{
	b->wave_number = w->number;
	b->wave_reported = state;
	if (state != TOLD_COMPLETED)
		return;
	b->wave_completed = w->number;
	seam_log(SEAM_INFO, "upkeep",
		 "event=wave_completed wave=%lld left_ms=%lld",
		 (long long)w->number,
		 (long long)(w->deadline - seam_now(b->clock)) / SEAM_MSEC);
}

void board_wave_report(struct seam_board *b, const struct seam_wave *w,
		       bool done)
{
	int state = done ? TOLD_COMPLETED : TOLD_RUNNING;
	char key[SEAM_KEY_MAX];
	char *text;

	board_wave_keep(b);
	if (b->wave_number == w->number && b->wave_reported >= state)
		return;
	snprintf(key, sizeof(key), "%s%lld", b->ports->wave_status_rows,
		 (long long)w->number);
	text = b->ports->wave_state(done);
	if (text && !board_put_row(b, key, text))
		told(b, w, state);
	free(text);
}
