// RAII types for GLib objects, errors and sources.
#pragma once

#include <gio/gio.h>

#include <memory>

namespace lynxgrade::net {

struct Unref {
  void operator()(gpointer object) const { g_object_unref(object); }
};
template <typename T>
using ObjectPtr = std::unique_ptr<T, Unref>;

struct FreeError {
  void operator()(GError* error) const { g_error_free(error); }
};
using ErrorPtr = std::unique_ptr<GError, FreeError>;

// Receives the error of a GLib call through out(), and frees it.
class ErrorSlot {
 public:
  ~ErrorSlot() { g_clear_error(&error_); }
  ErrorSlot() = default;
  ErrorSlot(const ErrorSlot&) = delete;
  ErrorSlot& operator=(const ErrorSlot&) = delete;
  GError** out() { return &error_; }
  bool Matches(GIOErrorEnum code) const { return g_error_matches(error_, G_IO_ERROR, code); }
  const char* message() const { return error_ == nullptr ? "no error" : error_->message; }

 private:
  GError* error_ = nullptr;
};

// Owns a source of the main context: destroys it and releases the reference.
class SourcePtr {
 public:
  SourcePtr() = default;
  explicit SourcePtr(GSource* source) : source_(source) {}
  ~SourcePtr() { reset(); }
  SourcePtr(const SourcePtr&) = delete;
  SourcePtr& operator=(const SourcePtr&) = delete;

  void reset(GSource* source = nullptr) {
    if (source_ != nullptr) {
      g_source_destroy(source_);
      g_source_unref(source_);
    }
    source_ = source;
  }
  GSource* get() const { return source_; }
  explicit operator bool() const { return source_ != nullptr; }

 private:
  GSource* source_ = nullptr;
};

}  // namespace lynxgrade::net
