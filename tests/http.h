#ifndef HTTP_H
#define HTTP_H

// HTTP client for tests.
#include <curl/curl.h>

#include <string>
#include <vector>

struct reply {
	long status = 0;
	std::string body;

	bool has(const char *s) const
	{
		return body.find(s) != std::string::npos;
	}
	bool not_run() const
	{
		return has("\"run\":\"not_run\"");
	}
};

static inline std::string bearer(const std::string &key)
{
	return "Authorization: Bearer " + key;
}

static inline size_t append_body(char *data, size_t size, size_t n, void *arg)
{
	((std::string *)arg)->append(data, size * n);
	return size * n;
}

// @headers are complete header lines. The status is 0 without a response.
static inline reply http(const char *method, const std::string &url,
			 const std::vector<std::string> &headers,
			 const std::string &body = "")
{
	CURL *c = curl_easy_init();
	curl_slist *list = nullptr;
	reply r;

	for (auto &h : headers)
		list = curl_slist_append(list, h.c_str());
	curl_easy_setopt(c, CURLOPT_URL, url.c_str());
	curl_easy_setopt(c, CURLOPT_PROXY, "");
	curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, 20000L);
	curl_easy_setopt(c, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(c, CURLOPT_WRITEDATA, &r.body);
	if (!body.empty())
		curl_easy_setopt(c, CURLOPT_COPYPOSTFIELDS, body.c_str());
	curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_perform(c);
	curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &r.status);
	curl_slist_free_all(list);
	curl_easy_cleanup(c);
	return r;
}

#endif
