mod http;
