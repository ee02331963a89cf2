#ifndef PLATFORM_ROWS_SERVER_H
#define PLATFORM_ROWS_SERVER_H

// A fake of the platform's table service, written from its published protocol.
#include <civetweb.h>
#include <json-c/json.h>

#include <algorithm>
#include <condition_variable>
#include <map>
#include <cstring>
#include <mutex>
#include <set>
#include <string>
#include <tuple>
#include <vector>

struct RowsServer {
	struct Entry {
		std::string value; // base64
		int64_t ver = 0;
		bool gone = false;
	};
	static const size_t CALL_BYTES_MAX = 1000000;
	// Base64 of a value of 65,536 bytes.
	static const size_t VALUE_CHARS_MAX = 65536 / 3 * 4 + 4;
	typedef std::tuple<std::string, std::string, std::string> Name;
	std::mutex lock;
	std::condition_variable changed;
	std::map<Name, Entry> rows;
	int64_t ver = 0;
	int64_t oldest = 0; // the feed has only changes after this version
	int refuse = 0; // status of all calls, if set
	int lose_answers = 0; // this many transactions apply without an answer
	int lost_before = 0; // this many are lost before they apply
	int tx_calls = 0;
	bool across_missing = false;
	// Limits of a page of rows.
	size_t page_rows = 500;
	size_t page_bytes = 1000000;
	mg_context *ctx = nullptr;

	explicit RowsServer(const std::string &addr)
	{
		const char *options[] = {
			"listening_ports",   addr.c_str(), "num_threads", "8",
			"enable_keep_alive", "yes",	   nullptr};
		mg_callbacks callbacks = {};

		mg_init_library(0);
		ctx = mg_start(&callbacks, this, options);
		if (ctx)
			mg_set_request_handler(ctx, "/", serve, this);
	}
	~RowsServer()
	{
		mg_stop(ctx);
		mg_exit_library();
	}
	static int answer(mg_connection *c, int status, const std::string &body)
	{
		mg_printf(c,
			  "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
			  "Content-Length: %zu\r\n\r\n%s",
			  status, body.size(), body.c_str());
		return status;
	}
	static std::string text(json_object *o, const char *name)
	{
		json_object *v = nullptr;

		json_object_object_get_ex(o, name, &v);
		return v ? json_object_get_string(v) : "";
	}
	static Name name_of(json_object *o)
	{
		return Name(text(o, "table"), text(o, "part"), text(o, "key"));
	}
	static json_object *row(const Name &n, const Entry &e)
	{
		json_object *o = json_object_new_object();
		auto add = [&](const char *k, const std::string &v) {
			json_object_object_add(
				o, k,
				json_object_new_string_len(v.data(),
							   (int)v.size()));
		};

		add("table", std::get<0>(n));
		add("part", std::get<1>(n));
		add("key", std::get<2>(n));
		if (e.gone)
			json_object_object_add(o, "tombstone",
					       json_object_new_boolean(true));
		else
			add("value", e.value);
		json_object_object_add(o, "ver", json_object_new_int64(e.ver));
		return o;
	}
	std::string rows_text(json_object *list, int64_t version,
			      bool more = false)
	{
		json_object *o = json_object_new_object();

		json_object_object_add(o, "rows", list);
		json_object_object_add(o, "hasMore",
				       json_object_new_boolean(more));
		json_object_object_add(o, "ver",
				       json_object_new_int64(version));
		std::string s = json_object_to_json_string(o);
		json_object_put(o);
		return s;
	}
	static std::string param(const mg_request_info *ri, const char *name)
	{
		char v[300] = "";
		const char *q = ri->query_string ? ri->query_string : "";

		mg_get_var(q, strlen(q), name, v, sizeof(v));
		return v;
	}
	int get(mg_connection *c, const mg_request_info *ri)
	{
		json_object *list = json_object_new_array();
		std::string table = param(ri, "table");
		std::string part = param(ri, "part");
		std::string from = param(ri, "from");
		size_t limit = strtoul(param(ri, "limit").c_str(), nullptr, 10);
		size_t bytes = 0;
		bool more = false;

		std::unique_lock<std::mutex> l(lock);
		limit = std::min(limit, page_rows);
		for (auto &r : rows) {
			if (std::get<0>(r.first) != table ||
			    std::get<1>(r.first) != part ||
			    std::get<2>(r.first) < from || r.second.gone)
				continue;
			bytes += r.second.value.size();
			more = json_object_array_length(list) == limit ||
			       bytes > page_bytes;
			if (more)
				break;
			json_object_array_add(list, row(r.first, r.second));
		}
		return answer(c, 200, rows_text(list, ver, more));
	}
	int feed(mg_connection *c, const mg_request_info *ri)
	{
		std::string table = param(ri, "table");
		int64_t after = atoll(param(ri, "after").c_str());
		auto end = std::chrono::steady_clock::now() +
			   std::chrono::milliseconds(
				   atoll(param(ri, "waitMs").c_str()));

		std::unique_lock<std::mutex> l(lock);
		for (;;) {
			json_object *list = json_object_new_array();
			int64_t read_to = ver;

			if (after < oldest) {
				json_object_put(list);
				return answer(c, 410, "{}");
			}
			for (auto &r : rows)
				if (std::get<0>(r.first) == table &&
				    r.second.ver > after)
					json_object_array_add(
						list, row(r.first, r.second));
			// A row that was put as the wait timed out is in the
			// next answer.
			if (json_object_array_length(list) ||
			    changed.wait_until(l, end) ==
				    std::cv_status::timeout)
				return answer(c, 200, rows_text(list, read_to));
			json_object_put(list);
		}
	}
	int transact(mg_connection *c, json_object *o)
	{
		json_object *when = nullptr;
		json_object *puts = nullptr;
		json_object *drop = nullptr;
		json_object *across = nullptr;
		std::set<std::string> parts;
		size_t i;

		json_object_object_get_ex(o, "expectedRevision", &when);
		json_object_object_get_ex(o, "puts", &puts);
		json_object_object_get_ex(o, "remove", &drop);
		json_object_object_get_ex(o, "across", &across);
		std::unique_lock<std::mutex> l(lock);
		tx_calls++;
		if (json_object_array_length(when) +
			    json_object_array_length(puts) +
			    json_object_array_length(drop) >
		    100)
			return answer(c, 400, "{}");
		for (auto *list : {when, puts, drop})
			for (i = 0; i < json_object_array_length(list); i++)
				parts.insert(
					text(json_object_array_get_idx(list, i),
					     "part"));
		if (parts.size() > 1 && !json_object_get_boolean(across))
			return answer(c, 400, "{}");
		for (i = 0; i < json_object_array_length(puts); i++)
			if (text(json_object_array_get_idx(puts, i), "value")
				    .size() > VALUE_CHARS_MAX)
				return answer(c, 400, "{}");
		if (lost_before > 0) {
			lost_before--;
			mg_printf(c, "HTTP/1.1 200 OK\r\n"
				     "Content-Length: 100\r\n\r\n{");
			return 200;
		}
		json_object *bad = json_object_new_array();
		for (i = 0; i < json_object_array_length(when); i++) {
			json_object *e = json_object_array_get_idx(when, i);
			auto it = rows.find(name_of(e));
			json_object *v = nullptr;
			bool there = it != rows.end() && !it->second.gone;

			json_object_object_get_ex(e, "ver", &v);
			if ((there ? it->second.ver : 0) !=
			    json_object_get_int64(v))
				json_object_array_add(
					bad, row(name_of(e),
						 there ? it->second : Entry()));
		}
		if (json_object_array_length(bad))
			return answer(c, 412, rows_text(bad, ver));
		json_object_put(bad);
		ver++;
		for (i = 0; i < json_object_array_length(puts); i++) {
			json_object *e = json_object_array_get_idx(puts, i);

			rows[name_of(e)] = {text(e, "value"), ver, false};
		}
		for (i = 0; i < json_object_array_length(drop); i++)
			rows[name_of(json_object_array_get_idx(drop, i))] = {
				"", ver, true};
		changed.notify_all();
		if (lose_answers > 0) {
			lose_answers--;
			mg_printf(c, "HTTP/1.1 200 OK\r\n"
				     "Content-Length: 100\r\n\r\n{");
			return 200;
		}
		return answer(c, 200,
			      "{\"ver\":" + std::to_string(ver) +
				      ",\"nowMs\":1}");
	}
	static int serve(mg_connection *c, void *arg)
	{
		const mg_request_info *ri = mg_get_request_info(c);
		RowsServer *s = (RowsServer *)arg;
		std::string path = ri->local_uri;
		std::string body;
		char part[4096];
		int n;

		while ((n = mg_read(c, part, sizeof(part))) > 0)
			body.append(part, (size_t)n);
		if (s->refuse)
			return answer(c, s->refuse, "{}");
		if (path == "/rows-get")
			return s->get(c, ri);
		if (path == "/rows-feed")
			return s->feed(c, ri);
		json_object *o = json_tokener_parse(body.c_str());
		if (body.size() > CALL_BYTES_MAX)
			n = answer(c, 413, "{}");
		else
			n = path == "/rows-tx" && o ? s->transact(c, o) :
						      answer(c, 404, "{}");
		json_object_put(o);
		return n;
	}
};

#endif
