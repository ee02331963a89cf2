#include "base/pack.h"

#include <stdlib.h>
#include <string.h>

#define INITIAL_BYTES 1024
#define TOKEN_BYTES_MAX 16 /* a token without the bytes of a string */

void seam_pack_init(struct seam_packer *p)
{
	memset(p, 0, sizeof(*p));
	mpack_tokbuf_init(&p->tokens);
}

static bool reserve(struct seam_packer *p, size_t n)
{
	size_t cap = p->cap ? p->cap : INITIAL_BYTES;
	char *larger;

	while (cap < p->len + n)
		cap *= 2;
	if (p->failed || cap == p->cap)
		return !p->failed;
	larger = realloc(p->data, cap);
	if (!larger) {
		p->failed = true;
		return false;
	}
	p->data = larger;
	p->cap = cap;
	return true;
}

static void put(struct seam_packer *p, mpack_token_t t, size_t bytes)
{
	char *pos;
	size_t left;

	if (!reserve(p, bytes))
		return;
	pos = p->data + p->len;
	left = p->cap - p->len;
	if (mpack_write(&p->tokens, &pos, &left, &t) != MPACK_OK)
		p->failed = true;
	p->len = p->cap - left;
}

void seam_pack_array(struct seam_packer *p, size_t n)
{
	put(p, mpack_pack_array((mpack_uint32_t)n), TOKEN_BYTES_MAX);
}

void seam_pack_map(struct seam_packer *p, size_t n)
{
	put(p, mpack_pack_map((mpack_uint32_t)n), TOKEN_BYTES_MAX);
}

void seam_pack_int(struct seam_packer *p, int64_t v)
{
	if (v < 0)
		put(p, mpack_pack_sint(v), TOKEN_BYTES_MAX);
	else
		seam_pack_uint(p, (uint64_t)v);
}

void seam_pack_uint(struct seam_packer *p, uint64_t v)
{
	put(p, mpack_pack_uint(v), TOKEN_BYTES_MAX);
}

void seam_pack_str(struct seam_packer *p, const char *s)
{
	seam_pack_text(p, s, strlen(s));
}

void seam_pack_text(struct seam_packer *p, const char *s, size_t n)
{
	put(p, mpack_pack_str((mpack_uint32_t)n), TOKEN_BYTES_MAX);
	if (n)
		put(p, mpack_pack_chunk(s, (mpack_uint32_t)n), n);
}

char *seam_pack_finish(struct seam_packer *p, size_t *len)
{
	*len = p->len;
	if (!p->failed)
		return p->data;
	free(p->data);
	return NULL;
}

void seam_unpack_init(struct seam_unpacker *u, const char *data, size_t len)
{
	memset(u, 0, sizeof(*u));
	u->pos = data;
	u->left = len;
	u->malformed = !data;
	mpack_tokbuf_init(&u->tokens);
}

static mpack_token_t get(struct seam_unpacker *u)
{
	mpack_token_t t = {.length = 0};

	if (!u->malformed &&
	    mpack_read(&u->tokens, &u->pos, &u->left, &t) != MPACK_OK)
		u->malformed = true;
	if (u->malformed)
		memset(&t, 0, sizeof(t));
	return t;
}

static mpack_token_t get_type(struct seam_unpacker *u, mpack_token_type_t type)
{
	mpack_token_t t = get(u);

	if (!u->malformed && t.type != type) {
		u->malformed = true;
		memset(&t, 0, sizeof(t));
	}
	return t;
}

static size_t get_length(struct seam_unpacker *u, mpack_token_type_t type)
{
	size_t n = get_type(u, type).length;

	if (n > u->left)
		u->malformed = true;
	return u->malformed ? 0 : n;
}

size_t seam_unpack_array(struct seam_unpacker *u)
{
	return get_length(u, MPACK_TOKEN_ARRAY);
}

size_t seam_unpack_map(struct seam_unpacker *u)
{
	return get_length(u, MPACK_TOKEN_MAP);
}

int64_t seam_unpack_int(struct seam_unpacker *u)
{
	mpack_token_t t = get(u);
	uint64_t v;

	if (!u->malformed && t.type == MPACK_TOKEN_SINT)
		return mpack_unpack_sint(t);
	if (u->malformed || t.type != MPACK_TOKEN_UINT) {
		u->malformed = true;
		return 0;
	}
	v = mpack_unpack_uint(t);
	if (v > INT64_MAX)
		u->malformed = true;
	return u->malformed ? 0 : (int64_t)v;
}

uint64_t seam_unpack_uint(struct seam_unpacker *u)
{
	mpack_token_t t = get_type(u, MPACK_TOKEN_UINT);

	return u->malformed ? 0 : mpack_unpack_uint(t);
}

/* Returns a string inside the message; it is not NUL-terminated. */
static const char *get_text(struct seam_unpacker *u, size_t *len)
{
	mpack_token_t t = get_type(u, MPACK_TOKEN_STR);
	mpack_token_t chunk;

	*len = t.length;
	if (u->malformed || !t.length)
		return "";
	chunk = get_type(u, MPACK_TOKEN_CHUNK);
	if (!u->malformed && chunk.length != t.length)
		u->malformed = true;
	return u->malformed ? "" : chunk.data.chunk_ptr;
}

/* Returns a string without NUL bytes inside the message. */
static const char *get_str(struct seam_unpacker *u, size_t *len)
{
	const char *s = get_text(u, len);

	if (!u->malformed && memchr(s, 0, *len))
		u->malformed = true;
	return u->malformed ? "" : s;
}

void seam_unpack_str(struct seam_unpacker *u, char *out, size_t size)
{
	size_t n;
	const char *s = get_str(u, &n);

	if (u->malformed || n >= size) {
		u->malformed = true;
		*out = '\0';
		return;
	}
	memcpy(out, s, n);
	out[n] = '\0';
}

char *seam_unpack_strdup(struct seam_unpacker *u)
{
	size_t n;
	const char *s = get_str(u, &n);
	char *copy = u->malformed ? NULL : strndup(s, n);

	if (!copy)
		u->malformed = true;
	return copy;
}

char *seam_unpack_text(struct seam_unpacker *u, size_t *len)
{
	const char *s = get_text(u, len);
	char *copy = u->malformed ? NULL : malloc(*len + 1);

	if (!copy) {
		u->malformed = true;
		return NULL;
	}
	memcpy(copy, s, *len);
	copy[*len] = '\0';
	return copy;
}

bool seam_unpack_done(const struct seam_unpacker *u)
{
	return !u->malformed && !u->left;
}
