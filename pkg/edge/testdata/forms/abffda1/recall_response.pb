
ü{"version":"00000001","routes":[{"name":"safe","host":"h","prefix":"/safe/","kind":"safe","timeout_s":5.623,"target_latency_s":0.4,"priority":1,"service":"s","max_attempts":3},{"name":"once","host":"h","prefix":"/once/","kind":"unsafe","timeout_s":5.623,"target_latency_s":0.4,"priority":1,"service":"s","max_attempts":3},{"name":"mix","host":"h","prefix":"/mix/","kind":"unsafe","timeout_s":5.623,"target_latency_s":0.4,"priority":1,"service":"s","max_attempts":3},{"name":"download","host":"h","prefix":"/download/","kind":"download","timeout_s":5.623,"target_latency_s":0.4,"priority":1,"service":"s","max_attempts":3},{"name":"new1","host":"h","prefix":"/new1/","kind":"safe","timeout_s":5.623,"target_latency_s":0.4,"priority":1,"service":"u","max_attempts":3}],
"services":[{"name":"s","health_path":"/health","max_connections":200,"cold_start_s":1.5,"cold_per_s":12},{"name":"u","health_path":"/health","max_connections":200,"cold_start_s":1.5,"cold_per_s":12}],
"limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_s":3,"idle_timeout_s":6},
"tenants":[{"name":"t1","api_keys":["key-1"],"rate_per_s":400,"burst":400}]}"	
i-1"

i-10"	
i-2"	
i-4"	
i-5"	
i-9"	
i-0