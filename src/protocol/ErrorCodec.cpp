#include "protocol/ErrorCodec.h"

#include <array>
#include <nlohmann/json.hpp>

namespace hickoryknot {

namespace {

struct CodeStatus {
    ErrorCode code;
    int status;
};

constexpr std::array<CodeStatus, 13> codeStatuses { {
    { ErrorCode::InvalidArgument, 400 },
    { ErrorCode::TooLarge, 413 },
    { ErrorCode::NotFound, 404 },
    { ErrorCode::Conflict, 409 },
    { ErrorCode::Expired, 410 },
    { ErrorCode::NotLeader, 421 },
    { ErrorCode::Unavailable, 503 },
    { ErrorCode::Draining, 503 },
    { ErrorCode::Overloaded, 503 },
    { ErrorCode::Timeout, 504 },
    { ErrorCode::Corrupt, 500 },
    { ErrorCode::Storage, 500 },
    { ErrorCode::Internal, 500 },
} };

/// Longer error documents are not parsed.
constexpr size_t maxErrorBytes = size_t { 64 } * 1024;

Error notAnErrorDocument() { return { ErrorCode::Unavailable, "the peer failed without an error document" }; }

} // namespace

std::string encodeError(const Error& error)
{
    const nlohmann::json document { { "error",
        { { "code", errorCodeName(error.code) }, { "message", error.message } } } };
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Error decodeError(std::string_view text)
{
    if (text.size() > maxErrorBytes)
        return notAnErrorDocument();
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("error") || !document["error"].is_object())
        return notAnErrorDocument();
    const auto& error = document["error"];
    if (!error.contains("code") || !error["code"].is_string())
        return notAnErrorDocument();
    const auto& name = error["code"].get_ref<const std::string&>();
    const bool hasMessage = error.contains("message") && error["message"].is_string();
    for (const auto& [code, status] : codeStatuses) {
        if (name == errorCodeName(code))
            return { code, hasMessage ? error["message"].get<std::string>() : std::string() };
    }
    return notAnErrorDocument();
}

int httpStatus(ErrorCode code)
{
    for (const auto& entry : codeStatuses) {
        if (entry.code == code)
            return entry.status;
    }
    return 500;
}

} // namespace hickoryknot
