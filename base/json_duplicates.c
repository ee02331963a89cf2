#include "base/json.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define DEPTH_MAX 64

/*
 * Scan for duplicate names. The text has been parsed before, so the scan only
 * tracks strings, comments and brackets. Names with escape sequences are
 * compared in their encoded form.
 */
struct scan {
	const char *at;
	int line;
	int depth;
	GHashTable *names[DEPTH_MAX]; /* NULL for an array */
	struct seam_problems *p;
};

static void skip_comment(struct scan *s)
{
	bool block = s->at[1] == '*';

	s->at += 2;
	for (; *s->at; s->at++) {
		if (*s->at == '\n')
			s->line++;
		if (!block && *s->at == '\n')
			break;
		if (block && s->at[0] == '*' && s->at[1] == '/') {
			s->at++;
			break;
		}
	}
}

static bool is_followed_by_colon(const char *c)
{
	return c[strspn(c, " \t\r\n")] == ':';
}

static void scan_string(struct scan *s)
{
	GHashTable *names = s->depth ? s->names[s->depth - 1] : NULL;
	char quote = *s->at;
	const char *start = ++s->at;
	char where[32];
	char *name;

	while (*s->at && *s->at != quote)
		s->at += s->at[0] == '\\' && s->at[1] ? 2 : 1;
	if (!names || !*s->at || !is_followed_by_colon(s->at + 1))
		return;
	name = g_strndup(start, (size_t)(s->at - start));
	if (g_hash_table_contains(names, name)) {
		snprintf(where, sizeof(where), "line %d", s->line);
		seam_problems_add(s->p, where, "name \"%s\" occurs twice",
				  name);
	}
	g_hash_table_add(names, name);
}

static void push_level(struct scan *s)
{
	if (s->depth >= DEPTH_MAX)
		return;
	s->names[s->depth++] =
		*s->at == '{' ? g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, NULL) :
				NULL;
}

static void pop_level(struct scan *s)
{
	if (!s->depth)
		return;
	s->depth--;
	if (s->names[s->depth])
		g_hash_table_destroy(s->names[s->depth]);
}

void seam_json_check_duplicates(const char *text, struct seam_problems *p)
{
	struct scan s = {.at = text, .line = 1, .p = p};

	for (; *s.at; s.at++) {
		if (*s.at == '"' || *s.at == '\'')
			scan_string(&s);
		else if (*s.at == '/' && (s.at[1] == '/' || s.at[1] == '*'))
			skip_comment(&s);
		else if (*s.at == '{' || *s.at == '[')
			push_level(&s);
		else if (*s.at == '}' || *s.at == ']')
			pop_level(&s);
		if (*s.at == '\n')
			s.line++;
		if (!*s.at)
			break;
	}
	while (s.depth)
		pop_level(&s);
}
