#include "store.h"

#include <cstdlib>

namespace review {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;

std::string EncodeBase64(const std::string& text) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    unsigned block = 0;
    for (std::size_t j = i; j < i + 3; ++j) {
      block = block << 8 |
              (j < text.size() ? static_cast<unsigned char>(text[j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      encoded +=
          i + j > text.size() ? '=' : kDigits[block >> (18 - 6 * j) & 0x3f];
    }
  }
  return encoded;
}

// Returns a parameter of a query; "%2F" is decoded, other characters of keys
// need no encoding.
std::string Parameter(const std::string& target, const std::string& name) {
  std::size_t begin = target.find("?" + name + "=");
  if (begin == std::string::npos) {
    begin = target.find("&" + name + "=");
  }
  if (begin == std::string::npos) {
    return "";
  }
  begin += name.size() + 2;
  std::string value = target.substr(begin, target.find('&', begin) - begin);
  for (std::size_t i = 0; (i = value.find("%2F", i)) != std::string::npos;) {
    value.replace(i, 3, "/");
  }
  return value;
}

bool HasPrefix(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

std::string Render(const std::string& key,
                   const std::string& value,
                   std::uint64_t revision,
                   std::uint64_t create_revision) {
  return "{\"key\":\"" + key + "\",\"value\":\"" + EncodeBase64(value) +
         "\",\"rev\":" + std::to_string(revision) +
         ",\"create_revision\":" + std::to_string(create_revision) +
         ",\"lease\":0";
}

}  // namespace

Store::Store(const std::string& ip, int port) {
  Serve(Listen(ip, port), [this](const HttpMessage& request, int socket) {
    return this->Handle(request, socket);
  });
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Item& item = this->items[key];
  item.value = value;
  item.revision = ++this->revision;
  if (item.create_revision == 0) {
    item.create_revision = item.revision;
  }
  this->events.push_back(
      {item.revision, key,
       Render(key, value, item.revision, item.create_revision) + "}"});
  this->changed.notify_all();
}

void Store::Delete(const std::string& key) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->items.erase(key) > 0) {
    ++this->revision;
    this->events.push_back({this->revision, key,
                            "{\"key\":\"" + key +
                                "\",\"rev\":" + std::to_string(this->revision) +
                                ",\"deleted\":true}"});
    this->changed.notify_all();
  }
}

bool Store::Handle(const HttpMessage& request, int socket) {
  const std::string target = request.Target();
  int status = kOk;
  std::string body;
  if (HasPrefix(target, "/kv-key")) {
    body = this->Read(Parameter(target, "key"), status);
  } else if (HasPrefix(target, "/kv-range")) {
    body = this->List(Parameter(target, "prefix"));
  } else if (HasPrefix(target, "/kv-watch")) {
    body = this->Watch(
        Parameter(target, "prefix"),
        std::strtoull(Parameter(target, "after").c_str(), nullptr, 10),
        std::chrono::milliseconds(
            std::atoi(Parameter(target, "wait_ms").c_str())));
  } else {
    status = kNotFound;
  }
  return SendAll(socket, "HTTP/1.1 " + std::to_string(status) +
                             " -\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body);
}

std::string Store::Read(const std::string& key, int& status) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->items.find(key);
  if (found == this->items.end()) {
    status = kNotFound;
    return "{}";
  }
  const Item& item = found->second;
  return Render(key, item.value, item.revision, item.create_revision) +
         ",\"store_revision\":" + std::to_string(this->revision) + "}";
}

std::string Store::List(const std::string& prefix) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::string rendered;
  for (const auto& [key, item] : this->items) {
    if (HasPrefix(key, prefix)) {
      rendered += (rendered.empty() ? "" : ",") +
                  Render(key, item.value, item.revision, item.create_revision) +
                  "}";
    }
  }
  return "{\"items\":[" + rendered +
         "],\"has_more\":false,\"store_revision\":" +
         std::to_string(this->revision) + "}";
}

std::string Store::Watch(const std::string& prefix,
                         std::uint64_t after,
                         std::chrono::milliseconds wait) {
  std::unique_lock<std::mutex> lock(this->mutex);
  std::string rendered;
  this->changed.wait_for(lock, wait, [&] {
    for (const Event& event : this->events) {
      if (event.revision > after && HasPrefix(event.key, prefix)) {
        rendered += (rendered.empty() ? "" : ",") + event.json;
      }
    }
    return !rendered.empty();
  });
  return "{\"events\":[" + rendered +
         "],\"store_revision\":" + std::to_string(this->revision) + "}";
}

}  // namespace review
